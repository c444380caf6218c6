#ifndef WIGEONSTAIR_LIBRARIES_CTL_ANSWER_VIEW_H_
#define WIGEONSTAIR_LIBRARIES_CTL_ANSWER_VIEW_H_

#include <string>

#include "settings/value.h"

namespace wigeonstair::ctl {

// Shows an answer for people: single members as "name: value", lists of
// objects as tables, nested objects indented. It needs no knowledge of the
// members, so a newer server's answer is shown in full.
std::string RenderAnswer(const settings::Value& answer);

}  // namespace wigeonstair::ctl

#endif  // WIGEONSTAIR_LIBRARIES_CTL_ANSWER_VIEW_H_

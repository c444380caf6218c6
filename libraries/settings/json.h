#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_JSON_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_JSON_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "settings/value.h"

namespace wigeonstair::settings {

// Parses one JSON document; lines of the tree are 0. Fails with
// kInvalidArgument, and with the line on a syntax error.
base::Result<Value> ParseJson(std::string_view text, const std::string& source);

// The document as JSON on one line. A kPlain value is written as a string.
std::string EmitJson(const Value& value);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_JSON_H_

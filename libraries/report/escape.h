#ifndef WIGEONSTAIR_LIBRARIES_REPORT_ESCAPE_H_
#define WIGEONSTAIR_LIBRARIES_REPORT_ESCAPE_H_

#include <string>
#include <string_view>

namespace wigeonstair::report {

// The text for use in HTML and SVG, between tags and in quoted attributes.
// Control characters other than tab and line feed, which XML forbids, become
// question marks.
std::string Escape(std::string_view text);

}  // namespace wigeonstair::report

#endif  // WIGEONSTAIR_LIBRARIES_REPORT_ESCAPE_H_

#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_PERCENT_ENCODING_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_PERCENT_ENCODING_H_

#include <string>
#include <string_view>

namespace wigeonstair::tools {

// Encodes a text as one segment of a path or one value of a query.
std::string PercentEncoded(std::string_view text);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_PERCENT_ENCODING_H_

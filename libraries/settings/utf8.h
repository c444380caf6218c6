#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_UTF8_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_UTF8_H_

#include <optional>
#include <string_view>

namespace wigeonstair::settings {

// The line of the first byte that does not belong to valid UTF-8, or nothing.
// Overlong forms, surrogates and code points above U+10FFFF are invalid.
std::optional<int> FirstInvalidUtf8Line(std::string_view text);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_UTF8_H_

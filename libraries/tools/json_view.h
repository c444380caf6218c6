#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_JSON_VIEW_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_JSON_VIEW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "settings/value.h"

namespace wigeonstair::tools {

// Lenient access to JSON of a peer: an absent member or one of another kind
// gives the fallback.
std::string TextOf(const settings::Value& value,
                   std::string_view key,
                   const std::string& fallback = {});
std::int64_t NumberOf(const settings::Value& value,
                      std::string_view key,
                      std::int64_t fallback = 0);
bool BooleanOf(const settings::Value& value,
               std::string_view key,
               bool fallback = false);
// Entries of a list, empty when it is absent.
const std::vector<settings::Value>& ItemsOf(const settings::Value& value,
                                            std::string_view key);
// A nested object, or an empty one.
const settings::Value& ObjectOf(const settings::Value& value,
                                std::string_view key);
std::vector<int> IntegersOf(const settings::Value& value, std::string_view key);

settings::Value ListOfIntegers(const std::vector<int>& numbers);

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_JSON_VIEW_H_

#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_OBJECT_READER_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_OBJECT_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "settings/fault.h"
#include "settings/value.h"

namespace wigeonstair::settings {

struct IntegerRange {
  std::int64_t minimum = 0;
  std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

// Reads the members of one mapping with checks. Faults are collected instead
// of stopping at the first, so that a person sees all of them at once. A
// member that was never asked for is a fault when Finish() is called.
class ObjectReader {
 public:
  // `value` and `faults` must outlive the reader. A value that is no mapping
  // is a fault.
  ObjectReader(const Value& value, std::string path, Faults& faults);

  // Required members. On a fault the result is empty or the minimum.
  std::string Text(std::string_view key);
  // A name of 1 to 64 characters of a-z, A-Z, 0-9, '.', '_' and '-'.
  std::string Id(std::string_view key);
  // "ip:port" with an IPv4 address and a port of 1 to 65535.
  std::string Address(std::string_view key);
  std::int64_t Integer(std::string_view key, IntegerRange range);

  std::string TextOr(std::string_view key, std::string fallback);
  // A text of any length and content, such as a payload; empty when absent.
  std::string AnyTextOr(std::string_view key, std::string fallback);
  std::string AddressOr(std::string_view key, std::string fallback);
  std::int64_t IntegerOr(std::string_view key,
                         IntegerRange range,
                         std::int64_t fallback);
  std::optional<std::int64_t> OptionalInteger(std::string_view key,
                                              IntegerRange range);
  bool BooleanOr(std::string_view key, bool fallback);
  // A required "yes" or "no".
  bool YesNo(std::string_view key);
  // Whether the member is the given word, such as "unlimited". No fault when
  // it is not.
  bool IsWord(std::string_view key, std::string_view word);

  // One of the given words; an absent member gives `fallback`, or a fault when
  // there is none. Usage: Choice<Level>("level", {{"rack", Level::kRack}}).
  template <typename Enum>
  Enum Choice(std::string_view key,
              std::initializer_list<std::pair<std::string_view, Enum>> choices,
              std::optional<Enum> fallback = std::nullopt);

  // Calls `read` with a reader for each item of a sequence of mappings. An
  // absent member is an empty sequence; `minimum` is the smallest length.
  void Objects(std::string_view key,
               std::size_t minimum,
               const std::function<void(ObjectReader&)>& read);
  // Calls `read` for a nested mapping; does nothing when it is absent.
  void Object(std::string_view key,
              const std::function<void(ObjectReader&)>& read);
  std::vector<std::string> Ids(std::string_view key);
  // A list of numbers; an absent member is an empty list.
  std::vector<std::int64_t> Integers(std::string_view key, IntegerRange range);

  bool Has(std::string_view key) const;
  int line() const { return value_.line; }
  const std::string& path() const { return path_; }

  // Adds a fault at a member, or at the mapping when the member is absent.
  void AddFault(std::string_view key, std::string message);
  // Adds a fault for each member that was not asked for.
  void Finish();

 private:
  const Value* Take(std::string_view key);
  // Like Take, but an absent or null member is a fault.
  const Value* TakeRequired(std::string_view key);
  std::string PathOf(std::string_view key) const;
  std::string ScalarText(std::string_view key, const Value& value);
  std::string CheckedAddress(std::string_view key, const Value& value);
  std::int64_t CheckedInteger(std::string_view key,
                              const Value& value,
                              IntegerRange range);

  const Value& value_;
  std::string path_;
  Faults& faults_;
  std::set<std::string, std::less<>> taken_;
};

// Whether a text is an id as ObjectReader::Id describes.
bool IsId(std::string_view text);
// Whether a text is "ip:port" as ObjectReader::Address describes.
bool IsAddress(std::string_view text);

template <typename Enum>
Enum ObjectReader::Choice(
    std::string_view key,
    std::initializer_list<std::pair<std::string_view, Enum>> choices,
    std::optional<Enum> fallback) {
  const Value* value = fallback ? Take(key) : TakeRequired(key);
  const Enum otherwise = fallback.value_or(choices.begin()->second);
  if (value == nullptr || value->is_null())
    return otherwise;
  std::string words;
  for (const auto& [word, choice] : choices) {
    if (value->is_scalar() && value->scalar == word)
      return choice;
    words += (words.empty() ? "" : ", ") + std::string(word);
  }
  AddFault(key, "must be one of: " + words);
  return otherwise;
}

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_OBJECT_READER_H_

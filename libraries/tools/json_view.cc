#include "tools/json_view.h"

#include <charconv>
#include <optional>

namespace wigeonstair::tools {

namespace {

using settings::Value;
using settings::ValueKind;

std::optional<std::int64_t> ParseNumber(const Value& value) {
  std::int64_t number = 0;
  const char* end = value.scalar.data() + value.scalar.size();
  const auto result = std::from_chars(value.scalar.data(), end, number);
  if (value.kind != ValueKind::kLiteral || result.ec != std::errc() ||
      result.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string TextOf(const Value& value,
                   std::string_view key,
                   const std::string& fallback) {
  const Value* member = value.Find(key);
  return member != nullptr && member->is_scalar() ? member->scalar : fallback;
}

std::int64_t NumberOf(const Value& value,
                      std::string_view key,
                      std::int64_t fallback) {
  const Value* member = value.Find(key);
  return member == nullptr ? fallback : ParseNumber(*member).value_or(fallback);
}

bool BooleanOf(const Value& value, std::string_view key, bool fallback) {
  const Value* member = value.Find(key);
  if (member == nullptr || member->kind != ValueKind::kLiteral)
    return fallback;
  return member->scalar == "true";
}

const std::vector<Value>& ItemsOf(const Value& value, std::string_view key) {
  static const std::vector<Value> kNone;
  const Value* member = value.Find(key);
  return member == nullptr ? kNone : member->items;
}

const Value& ObjectOf(const Value& value, std::string_view key) {
  static const Value kNone;
  const Value* member = value.Find(key);
  return member == nullptr ? kNone : *member;
}

std::vector<int> IntegersOf(const Value& value, std::string_view key) {
  std::vector<int> numbers;
  for (const Value& item : ItemsOf(value, key)) {
    if (const auto number = ParseNumber(item))
      numbers.push_back(static_cast<int>(*number));
  }
  return numbers;
}

Value ListOfIntegers(const std::vector<int>& numbers) {
  Value list = Value::Sequence();
  for (const int number : numbers)
    list.items.push_back(Value::Number(number));
  return list;
}

}  // namespace wigeonstair::tools

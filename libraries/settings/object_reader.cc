#include "settings/object_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

namespace wigeonstair::settings {

namespace {

constexpr std::size_t kIdLimitCharacters = 64;
constexpr std::size_t kTextLimitCharacters = 4096;

template <typename Number>
std::optional<Number> ParseNumber(std::string_view text) {
  Number number{};
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || text.empty())
    return std::nullopt;
  return number;
}

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

}  // namespace

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kIdLimitCharacters &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

bool IsAddress(std::string_view text) {
  const auto colon = text.find(':');
  if (colon == std::string_view::npos)
    return false;
  const auto port = ParseNumber<unsigned>(text.substr(colon + 1));
  in_addr address{};
  const std::string ip(text.substr(0, colon));
  return port && *port >= 1 && *port <= 65535 &&
         inet_pton(AF_INET, ip.c_str(), &address) == 1;
}

ObjectReader::ObjectReader(const Value& value, std::string path, Faults& faults)
    : value_(value), path_(std::move(path)), faults_(faults) {
  if (!value.is_mapping()) {
    faults_.push_back({.line = value.line,
                       .path = path_,
                       .message = "must be a mapping with keys"});
  }
}

bool ObjectReader::Has(std::string_view key) const {
  const Value* value = value_.Find(key);
  return value != nullptr && !value->is_null();
}

const Value* ObjectReader::Take(std::string_view key) {
  taken_.emplace(key);
  return value_.Find(key);
}

const Value* ObjectReader::TakeRequired(std::string_view key) {
  const Value* value = Take(key);
  if (value != nullptr && !value->is_null())
    return value;
  // A value of another kind already has its fault.
  if (value_.is_mapping())
    AddFault(key, "is missing");
  return nullptr;
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void ObjectReader::AddFault(std::string_view key, std::string message) {
  int line = value_.line;
  for (const Member& member : value_.members) {
    if (member.key == key)
      line = member.line;
  }
  faults_.push_back(
      {.line = line, .path = PathOf(key), .message = std::move(message)});
}

void ObjectReader::Finish() {
  for (const Member& member : value_.members) {
    if (!taken_.contains(member.key)) {
      faults_.push_back({.line = member.line,
                         .path = path_,
                         .message = "unknown key '" + member.key + "'"});
    }
  }
}

std::string ObjectReader::ScalarText(std::string_view key, const Value& value) {
  if (value.kind != ValueKind::kText && value.kind != ValueKind::kPlain) {
    AddFault(key, "must be a text");
    return {};
  }
  const bool printable =
      std::all_of(value.scalar.begin(), value.scalar.end(), [](char c) {
        return static_cast<unsigned char>(c) >= 0x20 && c != 0x7f;
      });
  if (!printable || value.scalar.size() > kTextLimitCharacters) {
    AddFault(key, "must be one line of at most " +
                      std::to_string(kTextLimitCharacters) +
                      " bytes without control characters");
    return {};
  }
  return value.scalar;
}

std::string ObjectReader::Text(std::string_view key) {
  const Value* value = TakeRequired(key);
  if (value == nullptr)
    return {};
  std::string text = ScalarText(key, *value);
  if (text.empty() && value->is_scalar() && value->scalar.empty())
    AddFault(key, "must not be empty");
  return text;
}

std::string ObjectReader::TextOr(std::string_view key, std::string fallback) {
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return fallback;
  return ScalarText(key, *value);
}

std::string ObjectReader::AnyTextOr(std::string_view key,
                                    std::string fallback) {
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return fallback;
  if (value->kind != ValueKind::kText && value->kind != ValueKind::kPlain) {
    AddFault(key, "must be a text");
    return fallback;
  }
  return value->scalar;
}

std::string ObjectReader::Id(std::string_view key) {
  const Value* value = TakeRequired(key);
  if (value == nullptr)
    return {};
  // An id such as 17 without quotes is a text as well.
  if (!value->is_scalar() || !IsId(value->scalar)) {
    AddFault(key,
             "must be an id of 1 to 64 characters of a-z, A-Z, 0-9, '.', '_' "
             "and '-'");
    return {};
  }
  return value->scalar;
}

std::vector<std::string> ObjectReader::Ids(std::string_view key) {
  std::vector<std::string> ids;
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return ids;
  if (!value->is_sequence()) {
    AddFault(key, "must be a list of ids");
    return ids;
  }
  for (const Value& item : value->items) {
    if (item.is_scalar() && IsId(item.scalar))
      ids.push_back(item.scalar);
    else
      AddFault(key, "must be a list of ids");
  }
  return ids;
}

std::string ObjectReader::CheckedAddress(std::string_view key,
                                         const Value& value) {
  if (value.is_scalar() && IsAddress(value.scalar))
    return value.scalar;
  AddFault(key, "must be an IPv4 address and port such as 192.0.2.1:8000");
  return {};
}

std::string ObjectReader::Address(std::string_view key) {
  const Value* value = TakeRequired(key);
  return value == nullptr ? std::string() : CheckedAddress(key, *value);
}

std::string ObjectReader::AddressOr(std::string_view key,
                                    std::string fallback) {
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return fallback;
  return CheckedAddress(key, *value);
}

std::int64_t ObjectReader::CheckedInteger(std::string_view key,
                                          const Value& value,
                                          IntegerRange range) {
  const bool unquoted =
      value.kind == ValueKind::kPlain || value.kind == ValueKind::kLiteral;
  const auto number = unquoted ? ParseNumber<std::int64_t>(value.scalar)
                               : std::optional<std::int64_t>();
  if (number && *number >= range.minimum && *number <= range.maximum)
    return *number;
  AddFault(key, "must be a whole number from " + std::to_string(range.minimum) +
                    " to " + std::to_string(range.maximum));
  return range.minimum;
}

std::int64_t ObjectReader::Integer(std::string_view key, IntegerRange range) {
  const Value* value = TakeRequired(key);
  return value == nullptr ? range.minimum : CheckedInteger(key, *value, range);
}

std::vector<std::int64_t> ObjectReader::Integers(std::string_view key,
                                                 IntegerRange range) {
  std::vector<std::int64_t> numbers;
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return numbers;
  if (!value->is_sequence()) {
    AddFault(key, "must be a list of whole numbers");
    return numbers;
  }
  for (const Value& item : value->items)
    numbers.push_back(CheckedInteger(key, item, range));
  return numbers;
}

std::int64_t ObjectReader::IntegerOr(std::string_view key,
                                     IntegerRange range,
                                     std::int64_t fallback) {
  return OptionalInteger(key, range).value_or(fallback);
}

std::optional<std::int64_t> ObjectReader::OptionalInteger(std::string_view key,
                                                          IntegerRange range) {
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return std::nullopt;
  return CheckedInteger(key, *value, range);
}

bool ObjectReader::BooleanOr(std::string_view key, bool fallback) {
  return Choice<bool>(key, {{"true", true}, {"false", false}}, fallback);
}

bool ObjectReader::YesNo(std::string_view key) {
  return Choice<bool>(key, {{"no", false}, {"yes", true}});
}

bool ObjectReader::IsWord(std::string_view key, std::string_view word) {
  const Value* value = Take(key);
  return value != nullptr && value->is_scalar() && value->scalar == word;
}

void ObjectReader::Objects(std::string_view key,
                           std::size_t minimum,
                           const std::function<void(ObjectReader&)>& read) {
  const Value* value = minimum > 0 ? TakeRequired(key) : Take(key);
  if (value == nullptr || value->is_null())
    return;
  if (!value->is_sequence()) {
    AddFault(key, "must be a list");
    return;
  }
  if (value->items.size() < minimum)
    AddFault(key, "must have at least " + std::to_string(minimum) + " entry");
  for (std::size_t i = 0; i < value->items.size(); ++i) {
    ObjectReader reader(value->items[i],
                        PathOf(key) + "[" + std::to_string(i) + "]", faults_);
    if (!value->items[i].is_mapping())
      continue;
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Object(std::string_view key,
                          const std::function<void(ObjectReader&)>& read) {
  const Value* value = Take(key);
  if (value == nullptr || value->is_null())
    return;
  ObjectReader reader(*value, PathOf(key), faults_);
  if (!value->is_mapping())
    return;
  read(reader);
  reader.Finish();
}

}  // namespace wigeonstair::settings

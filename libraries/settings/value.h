#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_VALUE_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_VALUE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wigeonstair::settings {

enum class ValueKind : std::uint8_t {
  kNull,
  // A scalar without quotes in YAML, which may be a text, number or boolean.
  kPlain,
  // A quoted scalar in YAML or a string in JSON.
  kText,
  // A number or boolean in JSON.
  kLiteral,
  kSequence,
  kMapping,
};

struct Member;

// A node of a YAML or JSON document. Both formats are read into this tree, so
// that one decoder serves both.
struct Value {
  ValueKind kind = ValueKind::kNull;
  // First line is 1; 0 when unknown.
  int line = 0;
  std::string scalar;
  std::vector<Value> items;
  // In the order of the document.
  std::vector<Member> members;

  static Value Text(std::string text);
  static Value Number(std::int64_t number);
  static Value Boolean(bool truth);
  static Value Sequence();
  static Value Mapping();

  // Appends a member and returns this mapping.
  Value& Add(std::string key, Value value);

  // The member's value, or null when it is absent or this is no mapping.
  const Value* Find(std::string_view key) const;

  bool is_null() const { return kind == ValueKind::kNull; }
  bool is_mapping() const { return kind == ValueKind::kMapping; }
  bool is_sequence() const { return kind == ValueKind::kSequence; }
  bool is_scalar() const {
    return kind == ValueKind::kPlain || kind == ValueKind::kText ||
           kind == ValueKind::kLiteral;
  }
};

struct Member {
  std::string key;
  int line = 0;
  Value value;
};

// Bounds on documents, so that a hostile one cannot exhaust memory or stack.
inline constexpr std::size_t kDocumentLimitBytes = 8UL * 1024 * 1024;
inline constexpr int kDocumentLimitDepth = 32;
inline constexpr int kDocumentLimitNodes = 400'000;

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_VALUE_H_

#include "settings/value.h"

namespace wigeonstair::settings {

Value Value::Text(std::string text) {
  Value value;
  value.kind = ValueKind::kText;
  value.scalar = std::move(text);
  return value;
}

Value Value::Number(std::int64_t number) {
  Value value;
  value.kind = ValueKind::kLiteral;
  value.scalar = std::to_string(number);
  return value;
}

Value Value::Boolean(bool truth) {
  Value value;
  value.kind = ValueKind::kLiteral;
  value.scalar = truth ? "true" : "false";
  return value;
}

Value Value::Sequence() {
  Value value;
  value.kind = ValueKind::kSequence;
  return value;
}

Value Value::Mapping() {
  Value value;
  value.kind = ValueKind::kMapping;
  return value;
}

Value& Value::Add(std::string key, Value value) {
  members.push_back(
      {.key = std::move(key), .line = 0, .value = std::move(value)});
  return *this;
}

const Value* Value::Find(std::string_view key) const {
  for (const Member& member : members) {
    if (member.key == key)
      return &member.value;
  }
  return nullptr;
}

}  // namespace wigeonstair::settings

#include "settings/json.h"

#include <cpprest/json.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <utility>

#include "settings/fault.h"
#include "settings/utf8.h"

namespace wigeonstair::settings {

namespace {

constexpr const char* kParseStep = "parse JSON";

Value Convert(const web::json::value& source) {
  Value value;
  if (source.is_object()) {
    value = Value::Mapping();
    for (const auto& [key, member] : source.as_object())
      value.Add(key, Convert(member));
  } else if (source.is_array()) {
    value = Value::Sequence();
    for (const auto& item : source.as_array())
      value.items.push_back(Convert(item));
  } else if (source.is_string()) {
    value = Value::Text(source.as_string());
  } else if (!source.is_null()) {
    value.kind = ValueKind::kLiteral;
    value.scalar = source.serialize();
  }
  return value;
}

// The line that cpprest names in its message, or 0.
int LineOf(const std::string& message) {
  const auto position = message.find("Line ");
  return position == std::string::npos ? 0 : std::atoi(&message[position + 5]);
}

// The depth of brackets outside of strings. Checked before parsing because
// cpprest's parser recurses once per level.
int Depth(std::string_view text) {
  int depth = 0;
  int deepest = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\')
        ++i;
      else if (c == '"')
        in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return deepest;
}

void AppendQuoted(std::string& text, const std::string& scalar) {
  text += web::json::value::string(scalar).serialize();
}

void Append(std::string& text, const Value& value) {
  switch (value.kind) {
    case ValueKind::kNull:
      text += "null";
      return;
    case ValueKind::kPlain:
    case ValueKind::kText:
      AppendQuoted(text, value.scalar);
      return;
    case ValueKind::kLiteral:
      text += value.scalar;
      return;
    case ValueKind::kSequence: {
      text += "[";
      bool first = true;
      for (const Value& item : value.items) {
        text += first ? "" : ",";
        first = false;
        Append(text, item);
      }
      text += "]";
      return;
    }
    case ValueKind::kMapping: {
      text += "{";
      bool first = true;
      for (const Member& member : value.members) {
        text += first ? "" : ",";
        first = false;
        AppendQuoted(text, member.key);
        text += ":";
        Append(text, member.value);
      }
      text += "}";
      return;
    }
  }
}

}  // namespace

base::Result<Value> ParseJson(std::string_view text,
                              const std::string& source) {
  Fault fault;
  if (text.size() > kDocumentLimitBytes) {
    fault.message = "the document is larger than " +
                    std::to_string(kDocumentLimitBytes) + " bytes";
  } else if (const auto line = FirstInvalidUtf8Line(text)) {
    fault.line = *line;
    fault.message = "not valid UTF-8";
  } else if (Depth(text) > kDocumentLimitDepth) {
    fault.message = "nested more than " + std::to_string(kDocumentLimitDepth) +
                    " levels deep";
  } else {
    try {
      return Convert(web::json::value::parse(std::string(text)));
    } catch (const std::exception& exception) {
      fault.message = exception.what();
      fault.line = LineOf(fault.message);
    }
  }
  return base::Fail(FaultsError(kParseStep, source, {fault}));
}

std::string EmitJson(const Value& value) {
  std::string text;
  Append(text, value);
  return text;
}

}  // namespace wigeonstair::settings

#include "ctl/answer_view.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include "settings/json.h"
#include "tools/table.h"

namespace wigeonstair::ctl {

namespace {

using settings::Member;
using settings::Value;

constexpr std::size_t kCellLimitCharacters = 100;

// JSON objects have no order; what identifies a row comes first, what explains
// it last.
constexpr std::array<std::string_view, 14> kFirstColumns = {
    "id",       "job",
    "worker",   "host",
    "customer", "domain",
    "name",     "state",
    "status",   "class",
    "revision", "operation",
    "health",   "consecutive_failures"};
constexpr std::array<std::string_view, 4> kLastColumns = {"reason", "why",
                                                          "detail", "text"};

int Rank(std::string_view key) {
  const auto first = std::find(kFirstColumns.begin(), kFirstColumns.end(), key);
  if (first != kFirstColumns.end())
    return static_cast<int>(first - kFirstColumns.begin());
  const auto last = std::find(kLastColumns.begin(), kLastColumns.end(), key);
  const int middle = static_cast<int>(kFirstColumns.size());
  if (last == kLastColumns.end())
    return middle;
  return middle + 1 + static_cast<int>(last - kLastColumns.begin());
}

std::vector<std::string> ColumnsOf(const std::vector<Value>& rows) {
  std::vector<std::string> columns;
  for (const Value& row : rows) {
    for (const Member& member : row.members) {
      if (std::find(columns.begin(), columns.end(), member.key) ==
          columns.end()) {
        columns.push_back(member.key);
      }
    }
  }
  std::stable_sort(columns.begin(), columns.end(),
                   [](const std::string& left, const std::string& right) {
                     return Rank(left) < Rank(right);
                   });
  return columns;
}

bool IsFlatList(const Value& value) {
  return value.is_sequence() &&
         std::none_of(value.items.begin(), value.items.end(),
                      [](const Value& item) {
                        return item.is_mapping() || item.is_sequence();
                      });
}

std::string JoinItems(const Value& list) {
  std::string text;
  for (const Value& item : list.items)
    text += (text.empty() ? "" : ", ") + item.scalar;
  return text;
}

// The text of a reason with its code. Not cut, because it is what an operator
// asked for.
std::string ReasonCell(const std::string& text, const Value& reason) {
  const Value* code = reason.Find("code");
  const Value* rejected = reason.Find("rejected");
  const bool more = rejected != nullptr && !rejected->items.empty();
  return text + " (" + (code == nullptr ? "no code" : code->scalar) +
         (more ? ", more with --json)" : ")");
}

// A mapping without nested values as "key value, key value"; anything else as
// JSON.
std::string NestedText(const Value& value) {
  std::string text;
  for (const Member& member : value.members) {
    if (!member.value.is_scalar())
      return settings::EmitJson(value);
    text += (text.empty() ? "" : ", ") + member.key + " " + member.value.scalar;
  }
  return text.empty() ? settings::EmitJson(value) : text;
}

std::string CellText(const Value& value) {
  if (value.is_scalar())
    return value.scalar;
  if (IsFlatList(value))
    return JoinItems(value);
  if (value.is_null())
    return "";
  if (const Value* text = value.Find("text"))
    return ReasonCell(text->scalar, value);
  std::string text = NestedText(value);
  if (text.size() > kCellLimitCharacters)
    text = text.substr(0, kCellLimitCharacters) + "... (--json shows all)";
  return text;
}

std::string RenderRows(const std::vector<Value>& rows) {
  const std::vector<std::string> columns = ColumnsOf(rows);
  tools::Table table(columns);
  std::vector<Value> sorted = rows;
  // Workers come in the order of the server's table, which says nothing. Other
  // lists are in order of time or already sorted.
  if (!columns.empty() && columns.front() == "worker") {
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const Value& left, const Value& right) {
                       const Value* one = left.Find("worker");
                       const Value* other = right.Find("worker");
                       return one != nullptr && other != nullptr &&
                              one->scalar < other->scalar;
                     });
  }
  for (const Value& row : sorted) {
    std::vector<std::string> cells;
    cells.reserve(columns.size());
    for (const std::string& column : columns) {
      const Value* value = row.Find(column);
      cells.push_back(value == nullptr ? "" : CellText(*value));
    }
    table.Add(std::move(cells));
  }
  return table.ToString();
}

std::string Indented(const std::string& text) {
  std::string indented;
  std::size_t start = 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    indented += "  " + text.substr(start, end - start) + "\n";
    start = end + 1;
  }
  return indented;
}

bool IsSingleLine(const Value& value) {
  return value.is_scalar() || value.is_null() || IsFlatList(value);
}

std::string RenderMapping(const Value& mapping) {
  std::vector<const Member*> members;
  for (const Member& member : mapping.members)
    members.push_back(&member);
  std::stable_sort(members.begin(), members.end(),
                   [](const Member* left, const Member* right) {
                     return Rank(left->key) < Rank(right->key);
                   });
  std::string text;
  for (const Member* member : members) {
    if (!IsSingleLine(member->value))
      continue;
    const std::string value = CellText(member->value);
    text += member->key + ": " + (value.empty() ? "-" : value) + "\n";
  }
  for (const Member* member : members) {
    if (!IsSingleLine(member->value)) {
      text += member->key + ":\n";
      text += Indented(RenderAnswer(member->value));
    }
  }
  return text;
}

}  // namespace

std::string RenderAnswer(const Value& answer) {
  if (answer.is_mapping())
    return answer.members.empty() ? "(nothing)\n" : RenderMapping(answer);
  if (!answer.is_sequence())
    return CellText(answer) + "\n";
  if (answer.items.empty())
    return "(none)\n";
  if (IsFlatList(answer)) {
    std::string text;
    for (const Value& item : answer.items)
      text += CellText(item) + "\n";
    return text;
  }
  return RenderRows(answer.items);
}

}  // namespace wigeonstair::ctl

#include "settings/yaml.h"

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>
#include <utility>

#include "settings/fault.h"
#include "settings/utf8.h"

namespace wigeonstair::settings {

namespace {

constexpr const char* kParseStep = "parse YAML";

// Raised inside this file only; ParseYaml turns it into a Result.
struct Refusal {
  Fault fault;
};

[[noreturn]] void Refuse(const YAML::Mark& mark, std::string message) {
  throw Refusal{
      {.line = mark.line + 1, .path = {}, .message = std::move(message)}};
}

// Builds the tree from parser events. yaml-cpp's own node tree would resolve
// aliases and lose duplicate keys.
class TreeBuilder final : public YAML::EventHandler {
 public:
  Value& root() { return root_; }

  void OnDocumentStart(const YAML::Mark&) override {}
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    CheckAnchor(mark, anchor);
    Value value;
    value.line = mark.line + 1;
    Put(mark, std::move(value));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override {
    Refuse(mark, "aliases are not supported; write the value out");
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& tag,
                YAML::anchor_t anchor,
                const std::string& text) override {
    CheckAnchor(mark, anchor);
    // yaml-cpp reports "?" for plain and "!" for quoted scalars.
    if (tag != "?" && tag != "!" && !tag.empty())
      Refuse(mark, "tags are not supported: '" + tag + "'");
    Value value;
    value.line = mark.line + 1;
    const bool empty = tag != "!" && (text.empty() || text == "~");
    value.kind = tag == "!" ? ValueKind::kText : ValueKind::kPlain;
    if (empty || (tag != "!" && text == "null"))
      value.kind = ValueKind::kNull;
    else
      value.scalar = text;
    Put(mark, std::move(value));
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string&,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value) override {
    Open(mark, anchor, ValueKind::kSequence);
  }
  void OnSequenceEnd() override { Close(); }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string&,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value) override {
    Open(mark, anchor, ValueKind::kMapping);
  }
  void OnMapEnd() override { Close(); }

 private:
  struct Level {
    Value value;
    YAML::Mark mark;
    std::optional<Member> pending;
  };

  static void CheckAnchor(const YAML::Mark& mark, YAML::anchor_t anchor) {
    if (anchor != 0)
      Refuse(mark, "anchors are not supported; write the value out");
  }

  void Open(const YAML::Mark& mark, YAML::anchor_t anchor, ValueKind kind) {
    CheckAnchor(mark, anchor);
    if (levels_.size() >= kDocumentLimitDepth)
      Refuse(mark, "nested more than " + std::to_string(kDocumentLimitDepth) +
                       " levels deep");
    Level level;
    level.value.kind = kind;
    level.value.line = mark.line + 1;
    level.mark = mark;
    levels_.push_back(std::move(level));
  }

  void Close() {
    Level level = std::move(levels_.back());
    levels_.pop_back();
    Put(level.mark, std::move(level.value));
  }

  void Put(const YAML::Mark& mark, Value value) {
    if (++nodes_ > kDocumentLimitNodes)
      Refuse(mark, "more than " + std::to_string(kDocumentLimitNodes) +
                       " values in one document");
    if (levels_.empty()) {
      root_ = std::move(value);
      return;
    }
    Level& level = levels_.back();
    if (level.value.is_sequence()) {
      level.value.items.push_back(std::move(value));
    } else if (!level.pending) {
      StartMember(mark, level, std::move(value));
    } else {
      level.pending->value = std::move(value);
      level.value.members.push_back(std::move(*level.pending));
      level.pending.reset();
    }
  }

  static void StartMember(const YAML::Mark& mark, Level& level, Value key) {
    if (!key.is_scalar())
      Refuse(mark, "a key must be a plain text");
    if (level.value.Find(key.scalar) != nullptr)
      Refuse(mark, "the key '" + key.scalar + "' is given twice");
    level.pending = Member{
        .key = std::move(key.scalar), .line = mark.line + 1, .value = {}};
  }

  Value root_;
  std::vector<Level> levels_;
  int nodes_ = 0;
};

void EmitNode(YAML::Emitter& emitter, const Value& value) {
  switch (value.kind) {
    case ValueKind::kNull:
      emitter << YAML::Null;
      return;
    case ValueKind::kText:
      emitter << YAML::DoubleQuoted << value.scalar;
      return;
    case ValueKind::kPlain:
    case ValueKind::kLiteral:
      emitter << value.scalar;
      return;
    case ValueKind::kSequence:
      if (value.items.empty())
        emitter << YAML::Flow;
      emitter << YAML::BeginSeq;
      for (const Value& item : value.items)
        EmitNode(emitter, item);
      emitter << YAML::EndSeq;
      return;
    case ValueKind::kMapping:
      if (value.members.empty())
        emitter << YAML::Flow;
      emitter << YAML::BeginMap;
      for (const Member& member : value.members) {
        emitter << YAML::Key << member.key << YAML::Value;
        EmitNode(emitter, member.value);
      }
      emitter << YAML::EndMap;
      return;
  }
}

}  // namespace

base::Result<Value> ParseYaml(std::string_view text,
                              const std::string& source) {
  if (text.size() > kDocumentLimitBytes) {
    return base::Fail(base::ErrorCode::kResourceLimit, kParseStep, source,
                      "the document is larger than " +
                          std::to_string(kDocumentLimitBytes) + " bytes");
  }
  if (const auto line = FirstInvalidUtf8Line(text)) {
    return base::Fail(FaultsError(
        kParseStep, source,
        {{.line = *line, .path = {}, .message = "not valid UTF-8"}}));
  }
  std::optional<Fault> fault;
  try {
    std::istringstream stream{std::string(text)};
    YAML::Parser parser(stream);
    TreeBuilder builder;
    parser.HandleNextDocument(builder);
    Value root = std::move(builder.root());
    TreeBuilder rest;
    if (!parser.HandleNextDocument(rest))
      return root;
    fault = Fault{.line = rest.root().line,
                  .path = {},
                  .message = "only one document is allowed in a file"};
  } catch (const Refusal& refusal) {
    fault = refusal.fault;
  } catch (const YAML::Exception& exception) {
    fault = Fault{
        .line = exception.mark.line + 1, .path = {}, .message = exception.msg};
  } catch (const std::exception& exception) {
    fault = Fault{.line = 0, .path = {}, .message = exception.what()};
  }
  return base::Fail(FaultsError(kParseStep, source, {*fault}));
}

std::string EmitYaml(const Value& value) {
  YAML::Emitter emitter;
  EmitNode(emitter, value);
  return std::string(emitter.c_str()) + "\n";
}

base::Result<std::string> ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const int error = errno;
    return base::Fail(error == ENOENT ? base::ErrorCode::kNotFound
                                      : base::ErrorCode::kInputOutput,
                      "read file", path, std::strerror(error));
  }
  std::string text;
  char buffer[65'536];
  while (file.read(buffer, sizeof(buffer)) || file.gcount() > 0) {
    text.append(buffer, static_cast<std::size_t>(file.gcount()));
    if (text.size() > kDocumentLimitBytes) {
      return base::Fail(base::ErrorCode::kResourceLimit, "read file", path,
                        "the file is larger than " +
                            std::to_string(kDocumentLimitBytes) + " bytes");
    }
  }
  if (file.bad()) {
    return base::Fail(base::ErrorCode::kInputOutput, "read file", path,
                      std::strerror(errno));
  }
  return text;
}

}  // namespace wigeonstair::settings

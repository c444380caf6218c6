#include "ctl/job_command.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

#include "settings/fault.h"
#include "settings/object_reader.h"
#include "settings/yaml.h"

namespace wigeonstair::ctl {

namespace {

using settings::ObjectReader;
using settings::Value;

enum class FieldKind : std::uint8_t { kText, kNumber };

struct JobField {
  const char* flag;
  const char* key;
  const char* value_name;
  const char* help;
  FieldKind kind;
};

constexpr JobField kFields[] = {
    {"job", "job", "ID", "id of the job; default: the operation id",
     FieldKind::kText},
    {"customer", "customer", "ID", "customer of the job, or filter of a list",
     FieldKind::kText},
    {"class", "class", "NAME", "jobs of one class resemble each other",
     FieldKind::kText},
    {"tasks", "tasks", "N", "tasks of the gang", FieldKind::kNumber},
    {"accelerators", "accelerators_per_task", "N", "accelerators of each task",
     FieldKind::kNumber},
    {"cores", "cores_per_task", "N", "cores of each task", FieldKind::kNumber},
    {"memory-mb", "memory_mb_per_task", "N", "memory of each task",
     FieldKind::kNumber},
    {"adjacency", "adjacency", "LEVEL", "anywhere, worker, rack or domain",
     FieldKind::kText},
    {"fallback", "fallback", "WORD", "wait or anywhere", FieldKind::kText},
    {"run-ms", "run_ms", "N", "expected run time", FieldKind::kNumber},
    {"urgency", "urgency", "WORD", "normal or urgent", FieldKind::kText},
    {"payload", "payload", "TEXT", "handed to the tasks unread",
     FieldKind::kText},
};

Value ReadNumber(ObjectReader& reader, std::string_view key) {
  constexpr std::int64_t kLargest = 1'000'000'000'000;
  return Value::Number(
      reader.Integer(key, {.minimum = 0, .maximum = kLargest}));
}

// Reads the file's members into a body with the kinds of the interface.
void ReadFile(ObjectReader& reader, Value& body) {
  for (const JobField& field : kFields) {
    if (!reader.Has(field.key))
      continue;
    body.Add(field.key, field.kind == FieldKind::kNumber
                            ? ReadNumber(reader, field.key)
                            : Value::Text(reader.Text(field.key)));
  }
  const std::vector<std::string> domains = reader.Ids("domains");
  if (domains.empty())
    return;
  Value list = Value::Sequence();
  for (const std::string& domain : domains)
    list.items.push_back(Value::Text(domain));
  body.Add("domains", std::move(list));
}

void Replace(Value& body, const std::string& key, Value value) {
  std::erase_if(body.members,
                [&key](const auto& member) { return member.key == key; });
  body.Add(key, std::move(value));
}

base::Result<std::monostate> ApplyFlags(const tools::CommandLine& line,
                                        Value& body) {
  constexpr std::int64_t kLargest = 1'000'000'000'000;
  for (const JobField& field : kFields) {
    if (!line.Has(field.flag))
      continue;
    if (field.kind == FieldKind::kNumber) {
      const std::int64_t number = TRY(line.Integer(field.flag, 0, 0, kLargest));
      Replace(body, field.key, Value::Number(number));
    } else {
      Replace(body, field.key, Value::Text(*line.ValueOf(field.flag)));
    }
  }
  if (line.Has("domain")) {
    Value list = Value::Sequence();
    for (const std::string& domain : line.All("domain"))
      list.items.push_back(Value::Text(domain));
    Replace(body, "domains", std::move(list));
  }
  return std::monostate();
}

}  // namespace

std::vector<tools::Flag> JobFlags() {
  std::vector<tools::Flag> flags;
  flags.reserve(std::size(kFields) + 2);
  for (const JobField& field : kFields) {
    flags.push_back({.name = field.flag,
                     .value_name = field.value_name,
                     .help = std::string("job: ") + field.help});
  }
  flags.push_back({.name = "domain",
                   .value_name = "ID",
                   .help = "job: failure domain that may run it; may be "
                           "repeated, default any"});
  flags.push_back(
      {.name = "state", .value_name = "STATE", .help = "filter of 'job list'"});
  return flags;
}

base::Result<Value> BuildJob(const tools::CommandLine& line,
                             const std::string& file) {
  Value body = Value::Mapping();
  if (!file.empty()) {
    const std::string text = TRY(settings::ReadTextFile(file));
    const Value document = TRY(settings::ParseYaml(text, file));
    settings::Faults faults;
    ObjectReader reader(document, "", faults);
    ReadFile(reader, body);
    reader.Finish();
    if (!faults.empty())
      return base::Fail(settings::FaultsError("read job", file, faults));
  }
  TRY(ApplyFlags(line, body));
  if (body.Find("customer") == nullptr) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "read job", file,
                      "the customer is missing; give --customer");
  }
  return body;
}

}  // namespace wigeonstair::ctl

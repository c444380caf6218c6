#ifndef WIGEONSTAIR_LIBRARIES_CTL_OPERATOR_COMMAND_H_
#define WIGEONSTAIR_LIBRARIES_CTL_OPERATOR_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"
#include "settings/value.h"
#include "tools/command_line.h"

namespace wigeonstair::ctl {

// Which process answers the call.
enum class Target : std::uint8_t { kControl, kEntry };

// Whether a command reads or changes. A change carries an operation id.
enum class Effect : std::uint8_t { kRead, kChange };

// How a change names the revision that it builds on.
enum class ExpectedRevision : std::uint8_t {
  kNotUsed,
  // Given with --expected-revision.
  kGiven,
  // Not given: the revision of the domain's status is read first.
  kReadFirst,
};

// One call of the HTTP interface that a command line asks for.
struct OperatorCommand {
  std::string method = "GET";
  std::string path;
  // Body of a change, without the operation id and the expected revision.
  std::optional<settings::Value> body;
  Target target = Target::kControl;
  Effect effect = Effect::kRead;
  ExpectedRevision expected_revision = ExpectedRevision::kNotUsed;
  // The failure domain whose revision a kReadFirst change builds on.
  std::string domain;
  // The answer lists what is not yet in force.
  bool lists_pending = false;
  // The answer covers only the failure domain of the server that gives it.
  bool covers_one_domain = false;
};

tools::ProgramDescription CtlDescription(std::string version);

// Turns a parsed command line into a call. Fails with kInvalidArgument when a
// file is malformed and with kNotFound when it does not exist; a wrong command
// gives kUsageFault as step.
base::Result<OperatorCommand> BuildCommand(const tools::CommandLine& line);

// Step of errors that are the fault of the command line itself.
inline constexpr const char* kUsageFault = "read command line";

}  // namespace wigeonstair::ctl

#endif  // WIGEONSTAIR_LIBRARIES_CTL_OPERATOR_COMMAND_H_

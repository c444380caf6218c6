#ifndef WIGEONSTAIR_LIBRARIES_CTL_JOB_COMMAND_H_
#define WIGEONSTAIR_LIBRARIES_CTL_JOB_COMMAND_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "settings/value.h"
#include "tools/command_line.h"

namespace wigeonstair::ctl {

// Flags that describe a job, such as --tasks.
std::vector<tools::Flag> JobFlags();

// The body of a job submission from a YAML or JSON file, which may be empty,
// and from flags, which take precedence. Fails with kInvalidArgument and all
// faults.
base::Result<settings::Value> BuildJob(const tools::CommandLine& line,
                                       const std::string& file);

}  // namespace wigeonstair::ctl

#endif  // WIGEONSTAIR_LIBRARIES_CTL_JOB_COMMAND_H_

#include "tools/service_program.h"

#include <csignal>
#include <iostream>

#include "tools/command_line.h"
#include "tools/end_process.h"
#include "tools/service_signals.h"

namespace wigeonstair::tools {

namespace {

ProgramDescription Describe(const ServiceProgram& program) {
  return {.name = program.name,
          .version = program.version,
          .summary = program.summary,
          .usage = {"--config FILE [--check-config]"},
          .flags = {{.name = "config",
                     .value_name = "FILE",
                     .help = "settings of this process"},
                    {.name = "check-config",
                     .value_name = "",
                     .help = "check the settings and exit"}},
          .notes =
              "SIGTERM refuses new requests, finishes those in progress and "
              "exits with 0.\nSIGHUP reads the certificate files again.\n"
              "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid settings."};
}

// The service is not destroyed: cpprestsdk 2.10 crashes, or waits forever, when
// a peer connects while a listener closes, and peers do so at any time.
[[noreturn]] void DrainAndExit(const ProgramDescription& description,
                               RunningService& service) {
  const auto drained = base::Capture([&] { return service.Drain(); });
  const auto* error = std::get_if<base::Error>(&drained);
  if (error != nullptr)
    ReportError(description, *error);
  EndProcess(error == nullptr ? ExitCode::kOk : ExitCode::kFailure);
}

// Returns only when the service did not start.
base::Result<std::monostate> Serve(const ProgramDescription& description,
                                   const ServiceProgram& program,
                                   const settings::ProcessSettings& settings,
                                   const sigset_t& signals) {
  const std::unique_ptr<RunningService> service = TRY(program.start(settings));
  int signal = 0;
  while (sigwait(&signals, &signal) == 0 && signal == SIGHUP)
    service->ReloadCertificate();
  DrainAndExit(description, *service);
}

}  // namespace

ExitCode RunService(const ServiceProgram& program,
                    int argument_count,
                    char** arguments) {
  const ProgramDescription description = Describe(program);
  const auto parsed = ParseCommandLine(description, argument_count, arguments);
  if (const auto* code = std::get_if<ExitCode>(&parsed))
    return *code;
  const auto& line = std::get<CommandLine>(parsed);
  if (!line.Has("config") || !line.positional().empty())
    return ReportUsage(description, "only --config FILE is needed");
  const sigset_t signals = BlockServiceSignals();
  const auto settings = base::Capture([&] {
    return settings::ProcessSettings::Load(line.ValueOr("config", ""));
  });
  if (const auto* error = std::get_if<base::Error>(&settings)) {
    ReportError(description, *error);
    return ExitCode::kInvalidInput;
  }
  if (line.Has("check-config")) {
    std::cout << "the settings are valid\n";
    return ExitCode::kOk;
  }
  const auto served = base::Capture([&] {
    return Serve(description, program,
                 std::get<settings::ProcessSettings>(settings), signals);
  });
  if (const auto* error = std::get_if<base::Error>(&served)) {
    ReportError(description, *error);
    return ExitCode::kFailure;
  }
  return ExitCode::kOk;
}

}  // namespace wigeonstair::tools

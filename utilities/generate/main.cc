#include <filesystem>
#include <iostream>
#include <string>
#include <variant>

#include "base/result.h"
#include "settings/change_preview.h"
#include "settings/cluster_configuration.h"
#include "settings/generator.h"
#include "settings/questionnaire.h"
#include "tools/command_line.h"
#include "tools/program.h"

namespace wigeonstair {

namespace {

tools::ProgramDescription Description() {
  return {.name = "wigeonstair-generate",
          .version = WIGEONSTAIR_VERSION,
          .summary =
              "Checks a questionnaire and writes the cluster configuration "
              "and the settings of each process.",
          .usage = {"QUESTIONNAIRE --output FOLDER", "QUESTIONNAIRE --check",
                    "QUESTIONNAIRE --preview OLD-FOLDER"},
          .flags = {{.name = "output",
                     .value_name = "FOLDER",
                     .help = "write the files below this folder"},
                    {.name = "check",
                     .value_name = "",
                     .help = "only check the answers"},
                    {.name = "preview",
                     .value_name = "OLD-FOLDER",
                     .help = "print what the answers change against an earlier "
                             "output; write nothing unless --output is given"}},
          .notes = "Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid answers."};
}

void PrintList(const std::string& heading,
               const std::vector<std::string>& lines) {
  std::cout << heading << (lines.empty() ? " none\n" : "\n");
  for (const std::string& line : lines)
    std::cout << "  " << line << "\n";
}

base::Result<std::monostate> Preview(
    const std::string& folder,
    const settings::Questionnaire& answers,
    const std::vector<settings::GeneratedFile>& files) {
  const auto before = TRY(settings::LoadClusterConfiguration(
      (std::filesystem::path(folder) / settings::kClusterFile).string()));
  auto preview = settings::PreviewChange(before, answers.configuration);
  preview.changed_files = settings::ChangedFiles(folder, files);
  PrintList("Changes:", preview.changes);
  PrintList("Guarantees at risk:", preview.guarantees_at_risk);
  PrintList("Settings files that change (restart these processes):",
            preview.changed_files);
  return std::monostate();
}

base::Result<tools::ExitCode> Run(const tools::CommandLine& line) {
  const auto answers =
      TRY(settings::LoadQuestionnaire(line.positional().front()));
  const auto files = settings::Generate(answers);
  if (const auto folder = line.ValueOf("preview"))
    TRY(Preview(*folder, answers, files));
  if (const auto folder = line.ValueOf("output")) {
    TRY(settings::WriteFiles(*folder, files));
    std::cout << "wrote " << files.size() << " files below " << *folder << "\n";
  } else if (line.Has("check")) {
    std::cout << "the answers are valid\n";
  }
  return tools::ExitCode::kOk;
}

std::string UsageFault(const tools::CommandLine& line) {
  if (line.positional().size() != 1)
    return "exactly one questionnaire is needed";
  if (!line.Has("output") && !line.Has("check") && !line.Has("preview"))
    return "give --output, --check or --preview";
  return "";
}

}  // namespace

}  // namespace wigeonstair

int main(int argument_count, char** arguments) {
  return wigeonstair::tools::RunProgram(
      wigeonstair::Description(), argument_count, arguments, wigeonstair::Run,
      wigeonstair::UsageFault);
}

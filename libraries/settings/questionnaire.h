#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_QUESTIONNAIRE_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_QUESTIONNAIRE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/result.h"
#include "cluster/configuration.h"
#include "settings/fault.h"
#include "settings/process_settings.h"
#include "settings/value.h"

namespace wigeonstair::settings {

// Offsets of a host's ports from its base port.
enum class PortOffset : std::uint8_t {
  kControlHttp = 0,
  kControlMessages = 1,
  kEntryHttp = 2,
  kEntryMessages = 3,
  kControlMetrics = 4,
  kEntryMetrics = 5,
};

struct HostAnswers {
  std::string ip;
  int base_port = 0;

  // "ip:port".
  std::string Address(PortOffset offset) const;

  bool operator==(const HostAnswers&) const = default;
};

// Names of files and folders in the generated settings. A relative token or
// certificate file is taken from the output folder, a relative data or log
// folder from the folder of the host.
struct FileAnswers {
  std::string data_folder = "data";
  std::string log_folder;
  std::string operator_token;
  std::string certificate;
  std::string key;
  std::string trusted_certificate;

  bool operator==(const FileAnswers&) const = default;
};

// The answers, already turned into a cluster configuration.
struct Questionnaire {
  cluster::ClusterConfiguration configuration;
  std::map<base::HostId, HostAnswers> hosts;
  FileAnswers files;
  base::LogLevel log_level = base::LogLevel::kInfo;

  bool operator==(const Questionnaire&) const = default;
};

// Reads the answers and checks them as a whole: structure, references, voters
// and whether the workers can hold the guarantees. Fails with all faults, each
// with the line and the answer. docs/configuration.md describes the answers.
base::Result<Questionnaire> QuestionnaireFromYaml(std::string_view text,
                                                  const std::string& source);
base::Result<Questionnaire> LoadQuestionnaire(const std::string& path);

// Translates paths of the cluster configuration to paths of the answers from
// which they come.
class AnswerPaths {
 public:
  // `configuration` and `answer` are prefixes such as "hosts[3]" and
  // "failure_domains[1].hosts[0]".
  void Add(std::string configuration, std::string answer);
  std::string Translate(const std::string& path) const;

 private:
  std::map<std::string, std::string> prefixes_;
};

// Checks on the hosts that vote: 3 or 5 of them, and no failure domain with a
// majority when there are several domains.
void CheckVoters(const cluster::ClusterConfiguration& configuration,
                 Faults& faults);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_QUESTIONNAIRE_H_

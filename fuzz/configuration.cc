#include "fuzz/fuzz.h"
#include "settings/cluster_configuration.h"
#include "settings/process_settings.h"
#include "settings/questionnaire.h"

// The documents that operators write: configurations, settings, questionnaires.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wigeonstair;
  const fuzz::Input input = fuzz::Split(data, size);
  switch (input.decoder % 4) {
    case 0:
      fuzz::RoundTrip(
          input.bytes,
          [](std::string_view text) {
            return settings::ClusterConfigurationFromYaml(text, "input");
          },
          settings::ClusterConfigurationToYaml);
      break;
    case 1:
      fuzz::RoundTrip(
          input.bytes,
          [](std::string_view text) {
            return settings::ClusterConfigurationFromJson(text, "input");
          },
          settings::ClusterConfigurationToJson);
      break;
    case 2:
      fuzz::RoundTrip(
          input.bytes,
          [](std::string_view text) {
            return settings::ProcessSettings::FromYaml(text, "input");
          },
          [](const settings::ProcessSettings& value) {
            return value.ToYaml();
          });
      break;
    default:
      fuzz::Accepted([&] {
        return settings::QuestionnaireFromYaml(input.bytes, "input");
      });
  }
  return 0;
}

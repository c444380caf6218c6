// Usage: standin CASE RECORD. Plays a case of the review from the root of the
// repository. Exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not be played. TROUBLE=0 leaves the disruption out.
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "cases.hpp"

int main(int count, char** values) {
  const std::map<std::string, std::function<int(bool)>> cases{
      {"forgotten-ends", review::ForgottenEnds},
      {"power-loss", review::PowerLoss},
      {"replacement", review::Replacement},
      {"lasting-gang", review::LastingGang},
      {"guarantee", review::Guarantee},
      {"formation", review::Formation}};
  if (count != 3)
    return review::kCannotRun;
  review::OpenRecord(values[2]);
  const char* trouble = std::getenv("TROUBLE");
  const auto chosen = cases.find(values[1]);
  const int status =
      chosen == cases.end()
          ? review::PlayOlder(values[1]).value_or(review::kCannotRun)
          : chosen->second(trouble == nullptr || std::string(trouble) != "0");
  review::Record("exit status " + std::to_string(status));
  return status;
}

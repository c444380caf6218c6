#include "settings/change_preview.h"

#include <algorithm>
#include <filesystem>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "settings/cluster_configuration.h"
#include "settings/guarantee_check.h"
#include "settings/yaml.h"

namespace wigeonstair::settings {

namespace {

using cluster::ClusterConfiguration;
using cluster::CustomerConfiguration;
using cluster::DomainConfiguration;
using Sentences = std::vector<std::string>;
// Domain and shape of guaranteed cells, and their number.
using Cells = std::map<std::pair<base::DomainId, cluster::CellShape>, int>;

// Flattens a document into "domains.linz.racks.linz-r1.workers" -> "6". List
// entries with an id are named by it, so that their order does not matter.
void Flatten(const Value& value,
             const std::string& path,
             std::map<std::string, std::string>& flat) {
  for (const Member& member : value.members) {
    const std::string next =
        path.empty() ? member.key : path + "." + member.key;
    Flatten(member.value, next, flat);
  }
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    const Value* id = value.items[i].Find("id");
    // Guarantees are compared by their cells instead.
    if (id != nullptr)
      Flatten(value.items[i], path + " '" + id->scalar + "'", flat);
  }
  if (value.is_scalar())
    flat[path] = value.scalar;
}

std::string Sentence(std::initializer_list<std::string_view> parts) {
  std::string text;
  for (const std::string_view part : parts)
    text += part;
  return text;
}

// All keys of both maps.
template <typename Map>
auto KeysOf(const Map& left, const Map& right) {
  std::set<typename Map::key_type> keys;
  for (const auto& [key, value] : left)
    keys.insert(key);
  for (const auto& [key, value] : right)
    keys.insert(key);
  return keys;
}

void CompareMembers(const ClusterConfiguration& before,
                    const ClusterConfiguration& after,
                    Sentences& changes) {
  std::map<std::string, std::string> old_members;
  std::map<std::string, std::string> new_members;
  Flatten(ClusterConfigurationToValue(before), "", old_members);
  Flatten(ClusterConfigurationToValue(after), "", new_members);
  const auto text_of = [](const auto& members, const std::string& path) {
    const auto found = members.find(path);
    return found == members.end() ? std::string("(none)") : found->second;
  };
  for (const std::string& path : KeysOf(old_members, new_members)) {
    const std::string old_text = text_of(old_members, path);
    const std::string new_text = text_of(new_members, path);
    if (old_text != new_text)
      changes.push_back(Sentence({path, ": ", old_text, " -> ", new_text}));
  }
}

Cells CellsOf(const CustomerConfiguration& customer) {
  Cells cells;
  for (const auto& guarantee : customer.guarantees)
    cells[{guarantee.domain, guarantee.shape}] += guarantee.count;
  return cells;
}

std::map<base::CustomerId, Cells> CellsByCustomer(
    const ClusterConfiguration& configuration) {
  std::map<base::CustomerId, Cells> cells;
  for (const auto& customer : configuration.customers)
    cells[customer.id] = CellsOf(customer);
  return cells;
}

template <typename Map>
typename Map::mapped_type ValueOr(const Map& map,
                                  const typename Map::key_type& key) {
  const auto found = map.find(key);
  return found == map.end() ? typename Map::mapped_type{} : found->second;
}

void CompareGuarantees(const ClusterConfiguration& before,
                       const ClusterConfiguration& after,
                       ChangePreview& preview) {
  const auto old_cells = CellsByCustomer(before);
  const auto new_cells = CellsByCustomer(after);
  for (const auto& customer : KeysOf(old_cells, new_cells)) {
    const Cells old_own = ValueOr(old_cells, customer);
    const Cells new_own = ValueOr(new_cells, customer);
    for (const auto& key : KeysOf(old_own, new_own)) {
      const int old_count = ValueOr(old_own, key);
      const int new_count = ValueOr(new_own, key);
      if (old_count == new_count)
        continue;
      const std::string sentence =
          "customer '" + customer.value() + "', '" + key.first.value() +
          "', cells of " + DescribeShape(key.second) + ": " +
          std::to_string(old_count) + " -> " + std::to_string(new_count);
      preview.changes.push_back(sentence);
      if (new_count < old_count) {
        preview.guarantees_at_risk.push_back(
            sentence + "; tasks on the dropped cells become borrowers");
      }
    }
  }
}

std::string DescribeRisk(const UnmetGuarantee& unmet,
                         const ClusterConfiguration& configuration) {
  const auto customer = std::find_if(
      configuration.customers.begin(), configuration.customers.end(),
      [&unmet](const auto& entry) { return entry.id == unmet.customer; });
  return "customer '" + unmet.customer.value() + "', '" + unmet.domain.value() +
         "': " + std::to_string(unmet.unmet_cells) + " cells of " +
         DescribeShape(customer->guarantees[unmet.guarantee].shape) +
         " cannot be claimed";
}

// Removes each rack in turn and reports the guarantees that then do not fit.
void FindRackRisks(const ClusterConfiguration& configuration,
                   Sentences& at_risk) {
  // Racks by the sentence that they share.
  std::map<std::string, std::string> racks_by_risk;
  for (const DomainConfiguration& domain : configuration.domains) {
    for (std::size_t i = 0; i < domain.racks.size(); ++i) {
      ClusterConfiguration reduced = configuration;
      reduced.domains = {domain};
      auto& racks = reduced.domains[0].racks;
      racks.erase(racks.begin() + static_cast<std::ptrdiff_t>(i));
      for (const UnmetGuarantee& unmet : FindUnmetGuarantees(reduced)) {
        std::string& lost = racks_by_risk[DescribeRisk(unmet, configuration)];
        lost += (lost.empty() ? "" : ", ") + domain.racks[i].id.value();
      }
    }
  }
  for (const auto& [risk, racks] : racks_by_risk)
    at_risk.push_back(
        Sentence({risk, " while one of these racks is lost: ", racks}));
}

std::optional<std::string> TextOf(const std::string& path) {
  const auto outcome = base::Capture([&path] { return ReadTextFile(path); });
  const auto* text = std::get_if<std::string>(&outcome);
  return text == nullptr ? std::nullopt : std::optional(*text);
}

// Settings files that an earlier run wrote.
std::set<std::string> ExistingFiles(const std::string& folder) {
  std::set<std::string> names;
  std::error_code error;
  for (const auto& host : std::filesystem::directory_iterator(folder, error)) {
    for (const char* file : {"control.yaml", "entry.yaml"}) {
      if (std::filesystem::exists(host.path() / file, error))
        names.insert(host.path().filename().string() + "/" + file);
    }
  }
  return names;
}

}  // namespace

ChangePreview PreviewChange(const ClusterConfiguration& before,
                            const ClusterConfiguration& after) {
  ChangePreview preview;
  CompareMembers(before, after, preview.changes);
  CompareGuarantees(before, after, preview);
  FindRackRisks(after, preview.guarantees_at_risk);
  return preview;
}

std::vector<std::string> ChangedFiles(const std::string& folder,
                                      const std::vector<GeneratedFile>& files) {
  std::set<std::string> changed = ExistingFiles(folder);
  for (const GeneratedFile& file : files) {
    if (file.name == kClusterFile)
      continue;
    if (TextOf(folder + "/" + file.name) == file.text)
      changed.erase(file.name);
    else
      changed.insert(file.name);
  }
  return {changed.begin(), changed.end()};
}

}  // namespace wigeonstair::settings

#include <array>
#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "cases.hpp"

namespace review {

namespace {

constexpr int kSchedulers = 3;
// Of the largest `big_config` there are 350.
constexpr int kIdleRoutes = 160;
constexpr int kMostVersions = 400;
constexpr char kFirst[] = "log-00000000000000000001";
constexpr char kSecond[] = "log-00000000000000000002";

// The data folders of the schedulers, as the platform sees them at a loss of
// power: a file that was removed without a sync of its directory may be kept.
class Disks {
 public:
  explicit Disks(const Installation& installation)
      : installation_(installation) {}

  // Records changes. Each sync of the directory follows one: the program syncs
  // it when it has created a segment of the log or a snapshot.
  void Look() {
    for (int i = 0; i < kSchedulers; ++i) {
      const std::string name = Installation::SchedulerName(i);
      const std::set<std::string> files = Files(Folder(name));
      if (files == files_[name])
        continue;
      files_[name] = files;
      std::string list;
      for (const std::string& file : files)
        list += " " + file;
      Record("files of " + name + ":" + list);
      std::error_code ignored;
      if (files.contains(kFirst)) {
        std::filesystem::create_hard_link(Folder(name) + "/" + kFirst,
                                          Folder(name) + "-" + kFirst, ignored);
      }
    }
  }

  // Whether each scheduler has removed both first segments.
  bool HasRemoved() const {
    for (const auto& [name, files] : files_) {
      if (files.contains(kFirst) || files.contains(kSecond))
        return false;
    }
    return files_.size() == kSchedulers;
  }

  // The removal of the first segment is undone, that of the second is not.
  void KeepFirst(const std::string& name) {
    std::filesystem::rename(Folder(name) + "-" + kFirst,
                            Folder(name) + "/" + kFirst);
    Record("kept at the loss of power by " + name + ": " + kFirst);
  }

 private:
  std::string Folder(const std::string& name) const {
    return installation_.DataFolder(name) + "/jobs";
  }
  static std::set<std::string> Files(const std::string& folder) {
    std::set<std::string> names;
    std::error_code ignored;
    for (const auto& entry :
         std::filesystem::directory_iterator(folder, ignored))
      names.insert(entry.path().filename().string());
    return names;
  }

  const Installation& installation_;
  std::map<std::string, std::set<std::string>> files_;
};

}  // namespace

int PowerLoss(bool trouble) {
  Installation here(TwoTenants(1));
  if (!here.Begin())
    return kCannotRun;
  const std::string job = Installation::NewId();
  if (here.ConsumeAt("POST", kUrgent, "exporter", job,
                     Installation::Job(2000, 1), 0)
          .status != 200)
    return kCannotRun;
  Disks disks(here);
  int version = 7;
  while (!disks.HasRemoved()) {
    ++version;
    if (version > kMostVersions ||
        here.Ask("POST", "/-/config/put", here.ManifestOf(version, kIdleRoutes),
                 version % kSchedulers)
                .status != 200)
      return kCannotRun;
    Sleep(20);
    disks.Look();
  }
  Record("acknowledged version " + std::to_string(version));
  if (trouble) {
    for (int i = 0; i < kSchedulers; ++i)
      here.Kill(Installation::SchedulerName(i));
    // Nothing was created, so nothing was synced, since the removals.
    disks.Look();
    if (!disks.HasRemoved())
      return kCannotRun;
    disks.KeepFirst("core-0");
    disks.KeepFirst("core-1");
    Sleep(1000);
    for (int i = 0; i < kSchedulers; ++i) {
      here.WillRestart(Installation::SchedulerName(i), false);
      here.StartProgram(Installation::SchedulerName(i));
    }
  }
  const std::string wanted = "\"Version\":" + std::to_string(version) + ",";
  bool has_manifest = false;
  bool has_job = false;
  const double until = Seconds() + 35;
  while (Seconds() < until && !(has_manifest && has_job)) {
    here.RestartLost();
    for (int i = 0; i < kSchedulers && !has_manifest; ++i) {
      const Response response = here.Ask("GET", "/-/config/get", "", i);
      has_manifest = response.status == 200 &&
                     response.body.find(wanted) != std::string::npos;
    }
    has_job = has_job ||
              here.ConsumeAt("GET", kUrgent, "exporter", job, "", 0).status ==
                  200;
    Sleep(1000);
  }
  return has_manifest && has_job ? kHeld : kBroken;
}

}  // namespace review

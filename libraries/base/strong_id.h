#ifndef WIGEONSTAIR_LIBRARIES_BASE_STRONG_ID_H_
#define WIGEONSTAIR_LIBRARIES_BASE_STRONG_ID_H_

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace wigeonstair::base {

// A text id that cannot be mixed up with the id of another kind of object.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive of clang-tidy 14.
  auto operator<=>(const StrongId&) const = default;

  // cereal support: archives the text itself.
  template <typename Archive>
  std::string save_minimal(const Archive&) const {  // NOLINT: cereal's name.
    return value_;
  }
  template <typename Archive>
  void load_minimal(const Archive&,  // NOLINT: cereal's name.
                    const std::string& value) {
    value_ = value;
  }

 private:
  std::string value_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& stream, const StrongId<Tag>& id) {
  return stream << id.value();
}

using CustomerId = StrongId<struct CustomerTag>;
using DomainId = StrongId<struct DomainTag>;
using HostId = StrongId<struct HostTag>;
using JobId = StrongId<struct JobTag>;
using RackId = StrongId<struct RackTag>;
using UpstreamId = StrongId<struct UpstreamTag>;
using WorkerId = StrongId<struct WorkerTag>;

}  // namespace wigeonstair::base

template <typename Tag>
struct std::hash<wigeonstair::base::StrongId<Tag>> {
  std::size_t operator()(
      const wigeonstair::base::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

#endif  // WIGEONSTAIR_LIBRARIES_BASE_STRONG_ID_H_

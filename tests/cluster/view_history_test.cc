#include "cluster/view_history.h"

#include <catch2/catch.hpp>

namespace wigeonstair::cluster {

namespace {

ClusterState StateAt(int changes) {
  ClusterState state;
  for (int i = 0; i < changes; ++i) {
    ConfigurationPatch patch{.cluster = "test"};
    patch.changed_customers.push_back(
        {.id = base::CustomerId("c" + std::to_string(i))});
    state.Apply(ApplyConfiguration{
        .operation = "op" + std::to_string(i),
        .expected_revision = static_cast<std::uint64_t>(i),
        .target_hash =
            HashConfiguration(ApplyPatch(state.configuration(), patch)),
        .patch = patch});
  }
  return state;
}

View MustApply(const View& view, const ViewReply& reply, std::uint64_t asked) {
  auto outcome = base::Capture([&] { return view.Apply(reply, asked); });
  REQUIRE(std::holds_alternative<View>(outcome));
  return std::get<View>(outcome);
}

}  // namespace

// Guards against an entry process whose view differs from the replicated state
// after it has missed revisions.
TEST_CASE("a view catches up with the state from any revision") {
  ViewHistory history;
  View view;
  for (int changes = 1; changes < 200; ++changes) {
    const ClusterState state = StateAt(changes);
    history.Record(state);
    // Between revisions 119 and 196 the view falls further behind than the
    // history reaches.
    if (changes % 7 != 0 || (changes > 119 && changes < 196))
      continue;
    const ViewReply reply = history.Answer({.known_revision = view.revision});
    view = MustApply(view, reply, view.revision);
    CHECK(view.revision == state.revision());
    CHECK(view.configuration == state.configuration());
  }
  CHECK(view.revision == 196);
}

// Guards against a configuration that reverts when replies arrive out of order.
TEST_CASE("a reply older than the view is rejected") {
  ViewHistory history;
  history.Record(StateAt(1));
  const ViewReply old_reply = history.Answer({.known_revision = 0});
  history.Record(StateAt(2));
  const View view = MustApply({}, history.Answer({.known_revision = 0}), 0);
  const auto outcome = base::Capture([&] { return view.Apply(old_reply, 0); });
  REQUIRE(std::holds_alternative<base::Error>(outcome));
  CHECK(std::get<base::Error>(outcome).code == base::ErrorCode::kConflict);
}

}  // namespace wigeonstair::cluster

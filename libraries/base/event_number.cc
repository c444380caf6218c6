#include "base/event_number.h"

namespace wigeonstair::base {

namespace {

constexpr EventDescription kDescriptions[] = {
#define WIGEONSTAIR_EVENT_ROW(constant, number, name, meaning) \
  {EventNumber::constant, name, meaning},
    WIGEONSTAIR_EVENTS(WIGEONSTAIR_EVENT_ROW)
#undef WIGEONSTAIR_EVENT_ROW
};

}  // namespace

std::span<const EventDescription> EventDescriptions() {
  return kDescriptions;
}

std::string_view EventName(EventNumber number) {
  for (const EventDescription& description : kDescriptions) {
    if (description.number == number)
      return description.name;
  }
  return "unknown";
}

}  // namespace wigeonstair::base

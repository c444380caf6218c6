#ifndef WIGEONSTAIR_LIBRARIES_ROUTING_SPILL_PERMISSION_H_
#define WIGEONSTAIR_LIBRARIES_ROUTING_SPILL_PERMISSION_H_

#include <cstdint>

namespace wigeonstair::routing {

// Whether a request may be forwarded to another failure domain.
enum class SpillPermission : std::uint8_t {
  kAllowed,
  kForbidden,  // The request was forwarded by an entry host of another domain.
};

}  // namespace wigeonstair::routing

#endif  // WIGEONSTAIR_LIBRARIES_ROUTING_SPILL_PERMISSION_H_

#ifndef WIGEONSTAIR_LIBRARIES_NET_DESCRIPTOR_LIMIT_H_
#define WIGEONSTAIR_LIBRARIES_NET_DESCRIPTOR_LIMIT_H_

#include <cstddef>

namespace wigeonstair::net {

// How many descriptors the process may open; 0 when that is unknown.
std::size_t DescriptorLimit();

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_DESCRIPTOR_LIMIT_H_

#include "net/descriptor_limit.h"

#include <sys/resource.h>

namespace wigeonstair::net {

std::size_t DescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return 0;
  return static_cast<std::size_t>(limit.rlim_cur);
}

}  // namespace wigeonstair::net

#include "tools/end_process.h"

#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace wigeonstair::tools {

void EndProcess(ExitCode code) {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
  std::_Exit(ToInt(code));
}

}  // namespace wigeonstair::tools

#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <string>
#include <string_view>

namespace endiverail {

struct fetched_answer {
  int Status = 0;
  std::string Body;
};

/// One HTTP request that the calling thread waits for, for command-line
/// programs. \p Server is "a.b.c.d:port". Fails with BackendUnreachable when
/// nothing was sent, with BackendCut when the answer is not whole.
result<fetched_answer> fetch(std::string_view Method, std::string_view Server,
                             std::string_view Target, std::string_view Body,
                             milliseconds Timeout);

} // namespace endiverail

#include "process/pool_use.h"

namespace endiverail {

std::string_view idleReasonName(idle_reason Reason) {
  switch (Reason) {
  case idle_reason::NoRequest:
    return "no-request";
  case idle_reason::Paused:
    return "paused";
  case idle_reason::Unreachable:
    return "unreachable";
  case idle_reason::FullLocally:
    return "full-locally";
  case idle_reason::FullRemotely:
    return "full-remotely";
  case idle_reason::Unconfirmed:
    return "unconfirmed";
  case idle_reason::Avoided:
    return "avoided";
  case idle_reason::Pending:
    return "pending";
  case idle_reason::WithinLimit:
    return "within-limit";
  case idle_reason::OtherEntry:
    break;
  }
  return "other-entry";
}

} // namespace endiverail

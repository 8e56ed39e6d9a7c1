#include "daemon/request_placement.h"

#include "base/text.h"
#include "process/idempotency_key.h"

#include <algorithm>

namespace endiverail {
namespace {

result<milliseconds> timeAllowed(const caller_request &Request) {
  milliseconds Most = Request.Kind->Timeout;
  std::string_view Wish = findHeader(Request.Headers, "Endiverail-Deadline-Ms");
  if (Wish.empty())
    return Most;
  auto Value = parseDecimal(Wish);
  if (!Value)
    return fail(error_kind::BadRequest,
                "Endiverail-Deadline-Ms takes a whole number");
  return std::min(Most, milliseconds(static_cast<std::int64_t>(
                            std::min<std::uint64_t>(*Value, Most.count()))));
}

} // namespace

result<caller_request> placeRequest(const response_handle &ResponseHandle,
                                    received_request Received,
                                    const fleet_version &Version,
                                    std::string_view FleetSecret,
                                    steady_time Now) {
  caller_request Request;
  Request.ResponseHandle = ResponseHandle;
  Request.Method = std::move(Received.Frame.Method);
  Request.Target = std::move(Received.Frame.Target);
  Request.Headers = std::move(Received.Frame.Fields);
  Request.Body = std::move(Received.Body);
  Request.Arrival = Received.Arrival;
  Request.ReadAt = Now;
  if (!Version.Ready)
    return fail(error_kind::NotReady,
                "the configuration or the hosts are not known");

  std::string_view Name = firstSegment(Request.Target);
  Request.Service = Version.Configuration.find(Name);
  if (!Request.Service)
    return fail(error_kind::UnknownService,
                "no accepted service is called \"" + std::string(Name) + "\"");
  Request.Kind =
      Request.Service->Definition.findKind(Request.Method, Request.path());
  if (!Request.Kind)
    return fail(error_kind::UnknownRoute,
                "the service's file has no such kind of work");

  Request.Organisation = findHeader(Request.Headers, "Endiverail-Organisation");
  Request.Key = findHeader(Request.Headers, "Endiverail-Key");
  Request.Forwarded =
      verifyHopToken(findHeader(Request.Headers, "Endiverail-Hop"),
                     Request.Method, Request.Target, FleetSecret);
  if (Request.Forwarded && Request.Kind->Idempotent)
    Request.TryServer = findHeader(Request.Headers, "Endiverail-Try");
  BOOST_LEAF_AUTO(Allowed, timeAllowed(Request));
  Request.Deadline = deadlineOf(Request.Arrival, Allowed);
  return Request;
}

} // namespace endiverail

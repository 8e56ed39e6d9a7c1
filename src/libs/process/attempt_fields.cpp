#include "process/attempt_fields.h"

#include "base/text.h"
#include "process/idempotency_key.h"
#include "request/message_fields.h"

namespace endiverail {

std::string attemptIdentifier(const attempt_sender &Sender, attempt_id Id) {
  return Sender.ProxyId + "." + std::to_string(Sender.Incarnation) + "." +
         std::to_string(Sender.Thread) + "." + std::to_string(Id);
}

std::vector<header_field> serverFields(const attempt_sender &Sender,
                                       const caller_request &Request,
                                       attempt_id Id, milliseconds Left) {
  auto Fields = endToEndFields(Request.Headers);
  Fields.push_back({std::string(AttemptHeader), attemptIdentifier(Sender, Id)});
  Fields.push_back({"Endiverail-Deadline-Ms", std::to_string(Left.count())});
  Fields.push_back(
      {"Endiverail-Rank", std::string(rankName(Request.Kind->Rank))});
  return Fields;
}

std::vector<header_field> peerFields(const attempt_sender &Sender,
                                     const active_request &Active,
                                     milliseconds Left) {
  const caller_request &Request = Active.Request;
  auto Fields = endToEndFields(Request.Headers);
  Fields.push_back(
      {"Endiverail-Hop", hopToken(Sender.ProxyId, Request.Method,
                                  Request.Target, Sender.FleetSecret)});
  Fields.push_back({"Endiverail-Deadline-Ms", std::to_string(Left.count())});
  Fields.push_back({"Endiverail-Organisation", Request.Organisation});
  if (Active.Attempt && !Active.Attempt->Target.ServerToConfirm.empty())
    Fields.push_back(
        {"Endiverail-Try", Active.Attempt->Target.ServerToConfirm});
  // A proxy that holds the key forwards the request without it.
  if (!Request.Key.empty() && !Active.HoldsKey)
    Fields.push_back({"Endiverail-Key", Request.Key});
  return Fields;
}

response_head callerHead(const backend_response_head &Head, bool FromPeer) {
  response_head Result;
  Result.Status = Head.Status;
  Result.Length = Head.Length;
  for (const header_field &Field : Head.Headers) {
    if (isHopByHop(Field.Name, Head.Headers))
      continue;
    // Only proxies may set the fleet's own fields; a backend server's are
    // dropped.
    bool IsOutcome = equalIgnoringCase(Field.Name, "Endiverail-Outcome");
    if (IsOutcome && FromPeer)
      Result.Outcome = outcomeFromName(Field.Value);
    if (!IsOutcome && (FromPeer || !isFleetField(Field.Name)))
      Result.Headers.push_back(Field);
  }
  return Result;
}

} // namespace endiverail

#include "process/key_hand_over.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// Well below the size limit of a request body.
constexpr std::size_t PartBytes = std::size_t{200} * 1024;

std::size_t sizeOf(const remembered_key &Key) {
  return Key.Name.size() + Key.Response.Body.size();
}

} // namespace

void key_sender::start(const proxy_incarnation &Self,
                       std::vector<key_successor> Rights,
                       std::vector<remembered_key> Keys) {
  key_hand_over Empty{Self, {}, std::move(Rights), 0, 1, {}};
  Parts = {Empty};
  std::size_t Bytes = 0;
  for (remembered_key &Key : Keys) {
    if (Bytes > 0 && Bytes + sizeOf(Key) > PartBytes) {
      Parts.push_back(Empty);
      Bytes = 0;
    }
    Bytes += sizeOf(Key);
    Parts.back().Keys.push_back(std::move(Key));
  }
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    Parts[Index].Part = Index;
    Parts[Index].Parts = Parts.size();
  }
  Next = 0;
  Failures = 0;
  MayHaveCompleted = false;
}

void key_sender::setHeir(const proxy_member &Heir) {
  Next = 0;
  Address = Heir.Address;
  proxy_incarnation Named{Heir.Id, Heir.Incarnation};
  for (key_hand_over &Part : Parts) {
    Part.Heir = Named;
    for (key_successor &Right : Part.Rights)
      Right.Successor = Named;
  }
}

key_sender::next_step key_sender::onDelivery(key_delivery Delivery) {
  bool WasLast = Next + 1 == Parts.size();
  if (Delivery == key_delivery::Accepted) {
    ++Next;
    return WasLast ? next_step::End : next_step::SendPart;
  }
  if (++Failures == MaxFailures)
    return next_step::End;
  MayHaveCompleted |= WasLast && Delivery == key_delivery::Unknown;
  return MayHaveCompleted ? next_step::SendPart : next_step::ChooseHeir;
}

result<std::optional<key_hand_over>>
key_receiver::take(const key_hand_over &Part, const proxy_incarnation &Self,
                   steady_time Now) {
  if (Part.Heir != Self)
    return fail(error_kind::NotReady,
                "the key hand-over is addressed to another proxy");
  if (Part.Parts == 0 || Part.Parts > MaxParts || Part.Part >= Part.Parts)
    return fail(error_kind::BadRecord,
                "the part number of the key hand-over is out of range");
  Completed.expire(Now);
  if (Completed.contains(Part.Sender))
    return std::nullopt;
  std::erase_if(Partials, [&](const auto &Entry) {
    return Now - Entry.second.LastReceived > PartsLifetime;
  });
  if (Partials.size() >= MaxSenders && !Partials.contains(Part.Sender))
    return fail(error_kind::NotReady,
                "too many key hand-overs are in progress");
  partial_hand_over &Partial = Partials[Part.Sender];
  Partial.LastReceived = Now;
  Partial.Parts.insert_or_assign(Part.Part, Part);
  if (Partial.Parts.size() < Part.Parts)
    return std::nullopt;
  key_hand_over Complete{Part.Sender, Part.Heir, Part.Rights, 0, 1, {}};
  for (key_hand_over &Each : Partial.Parts | std::views::values)
    std::ranges::move(Each.Keys, std::back_inserter(Complete.Keys));
  Partials.erase(Part.Sender);
  Completed.insert(Part.Sender, Now);
  return Complete;
}

} // namespace endiverail

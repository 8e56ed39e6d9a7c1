#include "process/key_hand_over.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// Well below what a proxy takes as a request's body.
constexpr std::size_t PartBytes = std::size_t{200} * 1024;

std::size_t sizeOf(const remembered_key &Key) {
  return Key.Name.size() + Key.Answer.Body.size();
}

} // namespace

void key_giver::start(const proxy_incarnation &Self,
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
  MayBeComplete = false;
}

void key_giver::setHeir(const proxy_member &Heir) {
  Next = 0;
  Address = Heir.Address;
  proxy_incarnation Named{Heir.Id, Heir.Incarnation};
  for (key_hand_over &Part : Parts) {
    Part.Heir = Named;
    for (key_successor &Right : Part.Rights)
      Right.Successor = Named;
  }
}

key_giver::next_step key_giver::onAnswer(key_delivery Delivery) {
  bool WasLast = Next + 1 == Parts.size();
  if (Delivery == key_delivery::Accepted) {
    ++Next;
    return WasLast ? next_step::End : next_step::SendPart;
  }
  if (++Failures == MostFailures)
    return next_step::End;
  MayBeComplete |= WasLast && Delivery == key_delivery::Unknown;
  return MayBeComplete ? next_step::SendPart : next_step::ChooseHeir;
}

result<std::optional<key_hand_over>>
key_receiver::take(const key_hand_over &Part, const proxy_incarnation &Self,
                   steady_time Now) {
  if (Part.Heir != Self)
    return fail(error_kind::NotReady, "the keys are for another proxy");
  if (Part.Parts == 0 || Part.Parts > MostParts || Part.Part >= Part.Parts)
    return fail(error_kind::BadRecord, "the keys come in no such part");
  Complete.expire(Now);
  if (Complete.contains(Part.Giver))
    return std::nullopt;
  std::erase_if(Collecting, [&](const auto &Entry) {
    return Now - Entry.second.Latest > PartsLast;
  });
  if (Collecting.size() >= MostGivers && !Collecting.contains(Part.Giver))
    return fail(error_kind::NotReady, "other proxies hand over just now");
  collected &Collected = Collecting[Part.Giver];
  Collected.Latest = Now;
  Collected.Parts.insert_or_assign(Part.Part, Part);
  if (Collected.Parts.size() < Part.Parts)
    return std::nullopt;
  key_hand_over Whole{Part.Giver, Part.Heir, Part.Rights, 0, 1, {}};
  for (key_hand_over &Each : Collected.Parts | std::views::values)
    std::ranges::move(Each.Keys, std::back_inserter(Whole.Keys));
  Collecting.erase(Part.Giver);
  Complete.note(Part.Giver, Now);
  return Whole;
}

} // namespace endiverail

#include "process/copy_requester.h"

#include <algorithm>
#include <tuple>

namespace endiverail {

void copy_requester::onPeerVersion(const proxy_member &Peer,
                                   std::uint64_t Version, steady_time Now) {
  if (Version == 0)
    return;
  if (Version > NewestVersion) {
    std::uniform_int_distribution<std::int64_t> Delay(0, RequestJitter.count());
    NewestVersion = Version;
    AnnouncedAt = Now;
    Failures = 0;
    Due = Now + milliseconds(Delay(Random));
  }
  if (Failures >= MaxFailures && Now >= Due + RetryRoundDelay)
    Failures = 0;
  auto Known = std::ranges::find(Candidates, Peer.Address, &candidate::Address);
  if (Known == Candidates.end())
    Known = Candidates.insert(Candidates.end(),
                              candidate{Peer.Address, 0, false, 0});
  *Known = {Peer.Address, Version, Peer.DataCentre == DataCentre,
            Peer.Capacity};
}

std::optional<endpoint_text>
copy_requester::nextPeer(std::uint64_t CurrentVersion, steady_time Now) {
  if (RequestedPeer || NewestVersion <= CurrentVersion || Now < Due ||
      Failures >= MaxFailures)
    return std::nullopt;
  // Responses are large, so peers in the same data centre are preferred, then
  // those with a higher capacity.
  std::ranges::shuffle(Candidates, Random);
  std::ranges::stable_sort(
      Candidates, std::greater{}, [](const candidate &Candidate) {
        return std::tuple(Candidate.SameDataCentre, Candidate.Capacity);
      });
  auto Selected =
      std::ranges::find(Candidates, NewestVersion, &candidate::Version);
  if (Selected == Candidates.end()) {
    Failures = MaxFailures;
    return std::nullopt;
  }
  RequestedPeer = Selected->Address;
  return RequestedPeer;
}

void copy_requester::onCopy() { RequestedPeer.reset(); }

void copy_requester::onFailure(steady_time Now) {
  std::erase_if(Candidates, [&](const candidate &Candidate) {
    return Candidate.Address == RequestedPeer;
  });
  RequestedPeer.reset();
  ++Failures;
  Due = Now + RetryDelay;
}

std::optional<steady_time>
copy_requester::nextWake(std::uint64_t CurrentVersion) const {
  if (RequestedPeer || NewestVersion <= CurrentVersion ||
      Failures >= MaxFailures)
    return std::nullopt;
  return Due;
}

} // namespace endiverail

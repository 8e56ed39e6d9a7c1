#include "process/copy_seeker.h"

#include <algorithm>
#include <tuple>

namespace endiverail {

void copy_seeker::onTold(const proxy_member &Peer, std::uint64_t Version,
                         steady_time Now) {
  if (Version == 0)
    return;
  if (Version > Newest) {
    std::uniform_int_distribution<std::int64_t> Wait(0, Spread.count());
    Newest = Version;
    Failures = 0;
    Due = Now + milliseconds(Wait(Random));
  }
  if (Failures >= MostFailures && Now >= Due + NextRound)
    Failures = 0;
  auto Known = std::ranges::find(Sources, Peer.Address, &source::Address);
  if (Known == Sources.end())
    Known = Sources.insert(Sources.end(), source{Peer.Address, 0, false, 0});
  *Known = {Peer.Address, Version, Peer.DataCentre == DataCentre,
            Peer.Capacity};
}

std::optional<endpoint_text> copy_seeker::next(std::uint64_t Have,
                                               steady_time Now) {
  if (Asked || Newest <= Have || Now < Due || Failures >= MostFailures)
    return std::nullopt;
  // Answers are large: the own data centre first, then strong hosts.
  std::ranges::shuffle(Sources, Random);
  std::ranges::stable_sort(Sources, std::greater{}, [](const source &Source) {
    return std::tuple(Source.Near, Source.Capacity);
  });
  auto Chosen = std::ranges::find(Sources, Newest, &source::Version);
  if (Chosen == Sources.end()) {
    Failures = MostFailures;
    return std::nullopt;
  }
  Asked = Chosen->Address;
  return Asked;
}

void copy_seeker::onCopy() { Asked.reset(); }

void copy_seeker::onFailure(steady_time Now) {
  std::erase_if(Sources,
                [&](const source &Source) { return Source.Address == Asked; });
  Asked.reset();
  ++Failures;
  Due = Now + RetryPause;
}

std::optional<steady_time> copy_seeker::nextWake(std::uint64_t Have) const {
  if (Asked || Newest <= Have || Failures >= MostFailures)
    return std::nullopt;
  return Due;
}

} // namespace endiverail

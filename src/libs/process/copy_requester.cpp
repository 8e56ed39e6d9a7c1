#include "process/copy_requester.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace endiverail {

void copy_requester::startRound() {
  Failures = 0;
  ExhaustionTaken = false;
  for (candidate &Candidate : Candidates)
    Candidate.Failed = false;
}

void copy_requester::onPeerVersion(const proxy_member &Peer,
                                   std::uint64_t Version, steady_time Now) {
  if (Version == 0)
    return;
  if (Version > NewestVersion) {
    std::uniform_int_distribution<std::int64_t> Delay(0, RequestJitter.count());
    NewestVersion = Version;
    AnnouncedAt = Now;
    Due = Now + milliseconds(Delay(Random));
    startRound();
  }
  if (Failures >= MaxFailures && Now >= Due + RetryRoundDelay)
    startRound();
  auto Known = std::ranges::find(Candidates, Peer.Address, &candidate::Address);
  if (Known == Candidates.end())
    Known = Candidates.insert(Candidates.end(), candidate{Peer.Address});
  Known->Version = Version;
  Known->SameDataCentre = Peer.DataCentre == DataCentre;
  Known->Capacity = Peer.Capacity;
}

std::size_t copy_requester::pendingForNewest() const {
  return static_cast<std::size_t>(
      std::ranges::count(Pending, NewestVersion, &pending_request::Version));
}

steady_time copy_requester::allSlowFrom() const {
  steady_time Latest;
  for (const pending_request &Request : Pending)
    if (Request.Version == NewestVersion)
      Latest = std::max(Latest, Request.slowFrom());
  return Latest;
}

std::optional<steady_time>
copy_requester::nextRequest(std::uint64_t CurrentVersion) const {
  if (NewestVersion <= CurrentVersion ||
      Failures + pendingForNewest() >= MaxFailures)
    return std::nullopt;
  return std::max(Due, allSlowFrom());
}

std::optional<steady_time>
copy_requester::exhaustedFrom(std::uint64_t CurrentVersion) const {
  if (NewestVersion <= CurrentVersion ||
      Failures + pendingForNewest() < MaxFailures)
    return std::nullopt;
  return allSlowFrom();
}

bool copy_requester::takeExhausted(std::uint64_t CurrentVersion,
                                   steady_time Now) {
  auto From = exhaustedFrom(CurrentVersion);
  return From && Now >= *From && !std::exchange(ExhaustionTaken, true);
}

copy_requester::candidate *copy_requester::selectCandidate() {
  // Responses are large, so peers in the same data centre are preferred, then
  // those with a higher capacity.
  std::ranges::shuffle(Candidates, Random);
  std::ranges::stable_sort(
      Candidates, std::greater{}, [](const candidate &Candidate) {
        return std::tuple(Candidate.SameDataCentre, Candidate.Capacity);
      });
  auto Selected =
      std::ranges::find_if(Candidates, [this](const candidate &Candidate) {
        return Candidate.Version == NewestVersion && !Candidate.Failed &&
               std::ranges::find(Pending, Candidate.Address,
                                 &pending_request::Peer) == Pending.end();
      });
  return Selected == Candidates.end() ? nullptr : &*Selected;
}

std::optional<endpoint_text>
copy_requester::nextPeer(std::uint64_t CurrentVersion, steady_time Now) {
  auto At = nextRequest(CurrentVersion);
  if (!At || Now < *At)
    return std::nullopt;
  candidate *Selected = selectCandidate();
  if (!Selected) {
    Failures = MaxFailures;
    Due = Now;
    return std::nullopt;
  }
  Pending.push_back({Selected->Address, NewestVersion, Now});
  return Selected->Address;
}

bool copy_requester::endRequest(std::string_view Peer) {
  auto Found = std::ranges::find(Pending, Peer, &pending_request::Peer);
  if (Found == Pending.end())
    return false;
  bool ForNewest = Found->Version == NewestVersion;
  Pending.erase(Found);
  return ForNewest;
}

void copy_requester::onResponseStarted(std::string_view Peer) {
  auto Found = std::ranges::find(Pending, Peer, &pending_request::Peer);
  if (Found != Pending.end())
    Found->ResponseStarted = true;
}

void copy_requester::onCopy(std::string_view Peer) { endRequest(Peer); }

void copy_requester::onFailure(std::string_view Peer, steady_time Now) {
  if (!endRequest(Peer))
    return;
  auto Known = std::ranges::find(Candidates, Peer, &candidate::Address);
  if (Known != Candidates.end())
    Known->Failed = true;
  ++Failures;
  Due = Now + RetryDelay;
}

std::optional<steady_time>
copy_requester::nextWake(std::uint64_t CurrentVersion) const {
  if (auto At = nextRequest(CurrentVersion))
    return At;
  return ExhaustionTaken ? std::nullopt : exhaustedFrom(CurrentVersion);
}

} // namespace endiverail

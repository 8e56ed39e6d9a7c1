#include "process/death_watch.h"

#include <utility>

namespace endiverail {

void death_watch::onStart(std::string_view Server, std::uint64_t Attempt) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    Found = Servers.emplace(Server, server_attempts{}).first;
  Found->second.Running.insert(Attempt);
}

void death_watch::onEnd(std::string_view Server, std::uint64_t Attempt) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  server_attempts &Attempts = Found->second;
  Attempts.Running.erase(Attempt);
  if (Attempts.Group && Attempts.Group->Survivors.erase(Attempt) != 0)
    Attempts.Group->AnyEndedWell = true;
  if (Attempts.Running.empty() && !Attempts.Group)
    Servers.erase(Found);
}

void death_watch::onCut(std::string_view Server, std::uint64_t Attempt,
                        request_fingerprint Fingerprint, steady_time Now) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  server_attempts &Attempts = Found->second;
  Attempts.Running.erase(Attempt);
  if (!Attempts.Group)
    Attempts.Group = cut_group{Now + Verdict, Attempts.Running, false, {}};
  Attempts.Group->Survivors.erase(Attempt);
  Attempts.Group->Cut.push_back(Fingerprint);
}

std::vector<death_watch::death> death_watch::takeDeaths(steady_time Now) {
  std::vector<death> Deaths;
  for (auto &[Server, Attempts] : Servers) {
    if (!Attempts.Group || Now < Attempts.Group->Due)
      continue;
    cut_group Group = *std::exchange(Attempts.Group, std::nullopt);
    if (Group.Survivors.empty() && !Group.AnyEndedWell)
      Deaths.push_back({Server, std::move(Group.Cut)});
  }
  std::erase_if(Servers, [](const auto &Entry) {
    return Entry.second.Running.empty() && !Entry.second.Group;
  });
  return Deaths;
}

std::optional<steady_time> death_watch::nextWake() const {
  std::optional<steady_time> Next;
  for (const auto &[Server, Attempts] : Servers)
    if (Attempts.Group && (!Next || Attempts.Group->Due < *Next))
      Next = Attempts.Group->Due;
  return Next;
}

} // namespace endiverail

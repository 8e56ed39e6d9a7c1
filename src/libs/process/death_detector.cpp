#include "process/death_detector.h"

#include <utility>

namespace endiverail {

void death_detector::onStart(std::string_view Server, std::uint64_t Attempt) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    Found = Servers.emplace(Server, server_attempts{}).first;
  Found->second.Running.insert(Attempt);
}

void death_detector::onEnd(std::string_view Server, std::uint64_t Attempt) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  server_attempts &Attempts = Found->second;
  Attempts.Running.erase(Attempt);
  if (Attempts.Group && Attempts.Group->StillRunning.erase(Attempt) != 0)
    Attempts.Group->AnyCompleted = true;
  if (Attempts.Running.empty() && !Attempts.Group)
    Servers.erase(Found);
}

void death_detector::onDisconnect(std::string_view Server,
                                  std::uint64_t Attempt,
                                  request_fingerprint Fingerprint,
                                  steady_time Now) {
  auto Found = Servers.find(Server);
  if (Found == Servers.end())
    return;
  server_attempts &Attempts = Found->second;
  Attempts.Running.erase(Attempt);
  if (!Attempts.Group)
    Attempts.Group =
        disconnect_group{Now + DetectionWindow, Attempts.Running, false, {}};
  Attempts.Group->StillRunning.erase(Attempt);
  Attempts.Group->Disconnected.push_back(Fingerprint);
}

std::vector<death_detector::death> death_detector::takeDeaths(steady_time Now) {
  std::vector<death> Deaths;
  for (auto &[Server, Attempts] : Servers) {
    if (!Attempts.Group || Now < Attempts.Group->DecisionTime)
      continue;
    disconnect_group Group = *std::exchange(Attempts.Group, std::nullopt);
    if (Group.StillRunning.empty() && !Group.AnyCompleted)
      Deaths.push_back({Server, std::move(Group.Disconnected)});
  }
  std::erase_if(Servers, [](const auto &Entry) {
    return Entry.second.Running.empty() && !Entry.second.Group;
  });
  return Deaths;
}

std::optional<steady_time> death_detector::nextWake() const {
  std::optional<steady_time> Next;
  for (const auto &[Server, Attempts] : Servers)
    if (Attempts.Group && (!Next || Attempts.Group->DecisionTime < *Next))
      Next = Attempts.Group->DecisionTime;
  return Next;
}

} // namespace endiverail

#pragma once

#include "process/control_message.h"
#include "process/ejection_leases.h"
#include "process/expiring_set.h"
#include "process/fleet_gossip.h"
#include "process/record_refresh.h"
#include "process/status_reports.h"
#include "process/swim.h"
#include "process/timeline.h"
#include "version/configuration_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

struct control_settings {
  proxy_member Self;
  std::vector<std::string> CustomerKeys;
  /// Peers to contact while the host list is not known.
  std::vector<endpoint_text> Seeds;
  swim_timing Swim;
  /// Time for which key heirs are kept after a proxy has shut down.
  milliseconds KeyLifetime{1'200'000};
  std::uint64_t Seed = 1;
};

/// Makes all control decisions of a daemon: membership, the configuration in
/// force, which backend servers are ejected, and when to read, pull and append.
/// Takes input and the current time, and returns the actions to perform.
class control_state {
public:
  static result<control_state> create(const control_settings &Settings,
                                      timeline &Events);

  void tick(steady_time Now, control_actions &Out);
  steady_time nextWake() const;

  void onDatagram(const peer_message &Message, steady_time Now,
                  control_actions &Out);
  void onLogPage(const log_page &Page, steady_time Now, control_actions &Out);
  void onLogFailure(steady_time Now, control_actions &Out);
  void onAppended(bool Succeeded, steady_time Now);
  void onHosts(const host_list &Hosts, steady_time Now, control_actions &Out);
  void onHostsFailure(steady_time Now);
  void onPullReply(const endpoint_text &Peer, const pull_reply &Reply,
                   steady_time Now, control_actions &Out);
  void onPullFailure(const endpoint_text &Peer, steady_time Now);
  void onNotice(const control_notice &Notice, steady_time Now,
                control_actions &Out);

  pull_reply answerPull(const pull_request &Request) const;

  /// Handles a part of the keys of a proxy that shuts down. Fails if this proxy
  /// can't be its heir.
  result<void> onKeyHandOver(const key_hand_over &Part, steady_time Now,
                             control_actions &Out);

  /// Starts to hand over the keys of this process to another proxy. All
  /// requests with these keys must have ended.
  void handOver(std::vector<remembered_key> Keys, control_actions &Out);
  void onKeysDelivered(key_delivery Delivery, control_actions &Out);
  bool handOverEnded() const { return HandOverEnded; }

  /// Starts the graceful shutdown: peers no longer hand this proxy out to
  /// callers.
  void drain(steady_time Now, control_actions &Out);
  /// Notifies the peers that this process leaves.
  void leave(steady_time Now, control_actions &Out);

  const configuration_state &records() const { return ConfigurationState; }
  const swim &membership() const { return Members; }
  const host_list &hosts() const { return Hosts; }
  bool ready() const;
  bool storeAway() const { return LogFailures >= LogFailureThreshold; }
  std::uint64_t logPosition() const { return NextOffset; }
  const status_reports &reports() const { return Reports; }

private:
  control_state(const control_settings &Settings,
                configuration_state ConfigurationState, timeline &Events);

  static constexpr std::size_t LogFailureThreshold = 3;

  /// A flood ends when the waiting requests have not exceeded the slots for
  /// this time.
  static constexpr milliseconds FloodCooldown{5'000};
  static constexpr std::size_t MaxFloods = 4096;

  void applyRecord(const configuration_record &Record, std::uint64_t Offset,
                   steady_time Now, control_actions &Out);
  void onServiceChanged(std::string_view Service, steady_time Now,
                        control_actions &Out);
  void recordMemberChanges(steady_time Now);
  void send(std::span<const outgoing_gossip> Gossip, control_actions &Out);
  void announce(steady_time Now, control_actions &Out);
  peer_message message(const gossip_message &Gossip);
  void pullIfBehind(const peer_message &Message, steady_time Now,
                    control_actions &Out);
  void pull(const endpoint_text &Peer, pull_request Request, steady_time Now,
            control_actions &Out);
  pull_request fullPull() const;
  void readSources(steady_time Now, control_actions &Out);
  void syncFromPeers(steady_time Now, control_actions &Out);
  void onReport(const service_status_report &Report, steady_time Now);
  void recordOwnershipChanges(const fleet_version &Next);
  void onPathFault(const path_fault &Fault, std::string_view Service,
                   steady_time Now, control_actions &Out);
  void onKeyHeir(const key_successor &Heir, steady_time Now,
                 control_actions &Out);
  void sendKeysToNextHeir(control_actions &Out);
  proxy_incarnation self() const {
    return {Settings.Self.Id, Settings.Self.Incarnation};
  }
  void refreshRecords(steady_time Now, control_actions &Out);
  void onServerLeaving(const server_leaving &Leaving, steady_time Now,
                       control_actions &Out);
  void onServerDeath(const server_death &Death, steady_time Now,
                     control_actions &Out);
  void recordDeath(const server_death &Death, control_actions &Out);
  void updateSelfSuspicion(steady_time Now);
  void requestEjection(const ejection_request &Request, steady_time Now,
                       control_actions &Out);
  ejection_context ejectionContextOf(std::string_view Service,
                                     std::string_view Server) const;
  auto ejectionContexts() const {
    return [this](std::string_view Service, std::string_view Server) {
      return ejectionContextOf(Service, Server);
    };
  }
  std::size_t unavailableServers(const service_definition &Definition) const;
  void publishIfChanged(steady_time Now, control_actions &Out);
  std::size_t listedPeers() const;
  milliseconds readInterval(milliseconds PerMember, milliseconds Min);
  std::size_t refreshOrder(std::string_view Service) const;

  control_settings Settings;
  configuration_state ConfigurationState;
  swim Members;
  timeline &Events;
  std::mt19937_64 Random;

  host_list Hosts;
  host_list_history HostsHistory;

  std::uint64_t NextOffset = 0;
  bool LogCaughtUp = false;
  std::size_t LogFailures = 0;
  bool LogReadPending = false;
  steady_time NextLogRead;
  bool HostsReadPending = false;
  steady_time NextHostsRead;
  record_refresh Refresh;
  steady_time NextRefresh;

  std::set<endpoint_text, std::less<>> PendingPulls;
  std::set<endpoint_text, std::less<>> SyncedPeers;
  std::map<std::string, std::uint64_t, std::less<>> RequestedVersions;
  steady_time NextFullPull;
  std::optional<steady_time> FirstTick;
  bool JoinTimedOut = false;

  fleet_gossip FleetGossip;
  key_sender KeySender;
  key_receiver KeyReceiver;
  bool HandOverEnded = false;

  ejection_leases EjectionLeases;
  fleet_version_ref Published;

  status_reports Reports;
  /// Services that have more waiting requests than slots.
  expiring_set<std::string> Floods{FloodCooldown, MaxFloods};
  steady_time OfferAgainAt;
  bool SuspectsSelf = false;
  bool Draining = false;

  std::uint64_t VersionNumber = 0;
  bool VersionStale = true;
};

} // namespace endiverail

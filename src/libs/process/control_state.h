#pragma once

#include "process/control_message.h"
#include "process/ejection_holder.h"
#include "process/fleet_news.h"
#include "process/recent_set.h"
#include "process/record_refresh.h"
#include "process/standing_reports.h"
#include "process/swim.h"
#include "process/time_line.h"
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
  /// Peers to try while the host list is not known.
  std::vector<endpoint_text> Seeds;
  swim_timing Swim;
  /// How long the keys of a proxy matter after its end.
  milliseconds KeyMemory{1'200'000};
  std::uint64_t Seed = 1;
};

/// All control decisions of a daemon: membership, what is in force, which
/// backend servers are ejected, when to read, pull and append. It takes what
/// has come in and the time, and returns what to do.
class control_state {
public:
  static result<control_state> create(const control_settings &Settings,
                                      time_line &Events);

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

  /// Takes a part of the keys of a proxy that ends. Fails when this proxy can't
  /// be its heir.
  result<void> onKeyHandOver(const key_hand_over &Part, steady_time Now,
                             control_actions &Out);

  /// Hands the keys of this process to another proxy. All that they belong to
  /// must have ended.
  void handOver(std::vector<remembered_key> Keys, control_actions &Out);
  void onKeysDelivered(key_delivery Delivery, control_actions &Out);
  bool handOverEnded() const { return HandOverEnded; }

  /// Begins the graceful end: peers stop handing this proxy out.
  void drain(steady_time Now, control_actions &Out);
  /// Tells the peers of the end.
  void leave(steady_time Now, control_actions &Out);

  const configuration_state &records() const { return ConfigurationState; }
  const swim &membership() const { return Members; }
  const host_list &hosts() const { return Hosts; }
  bool ready() const;
  bool storeAway() const { return LogFailures >= FailuresToReport; }
  std::uint64_t logPosition() const { return NextOffset; }
  const standing_reports &reports() const { return Reports; }

private:
  control_state(const control_settings &Settings,
                configuration_state ConfigurationState, time_line &Events);

  static constexpr std::size_t FailuresToReport = 3;

  /// A flood is over when so long no more requests wait than there are slots.
  static constexpr milliseconds FloodEnds{5'000};
  static constexpr std::size_t MostFloods = 4096;

  void applyRecord(const configuration_record &Record, std::uint64_t Offset,
                   steady_time Now, control_actions &Out);
  void onChanged(std::string_view Service, steady_time Now,
                 control_actions &Out);
  void takeMemberChanges(steady_time Now);
  void send(std::span<const outgoing_gossip> Gossip, control_actions &Out);
  void announce(steady_time Now, control_actions &Out);
  peer_message message(const gossip_message &Gossip);
  void considerPull(const peer_message &Message, steady_time Now,
                    control_actions &Out);
  void pull(const endpoint_text &Peer, pull_request Request, steady_time Now,
            control_actions &Out);
  pull_request fullPull() const;
  void readSources(steady_time Now, control_actions &Out);
  void joinByPeers(steady_time Now, control_actions &Out);
  void onReport(const standing_report &Report, steady_time Now);
  void noteOwnership(const fleet_version &Next);
  void onPathFault(const path_fault &Fault, std::string_view Service,
                   steady_time Now, control_actions &Out);
  void onKeyHeir(const key_successor &Heir, steady_time Now,
                 control_actions &Out);
  void offerKeys(control_actions &Out);
  proxy_incarnation self() const {
    return {Settings.Self.Id, Settings.Self.Incarnation};
  }
  void refreshRecords(steady_time Now, control_actions &Out);
  void onServerLeaving(const server_leaving &Leaving, steady_time Now,
                       control_actions &Out);
  void onServerDeath(const server_death &Death, steady_time Now,
                     control_actions &Out);
  void noteDeath(const server_death &Death, control_actions &Out);
  void considerSelf(steady_time Now);
  void wish(const ejection_wish &Wish, steady_time Now, control_actions &Out);
  ejection_terms termsOf(std::string_view Service,
                         std::string_view Server) const;
  auto terms() const {
    return [this](std::string_view Service, std::string_view Server) {
      return termsOf(Service, Server);
    };
  }
  std::size_t unavailableServers(const service_definition &Definition) const;
  void publishIfChanged(steady_time Now, control_actions &Out);
  std::size_t listedPeers() const;
  milliseconds spacing(milliseconds PerMember, milliseconds Least);
  std::size_t refreshOrder(std::string_view Service) const;

  control_settings Settings;
  configuration_state ConfigurationState;
  swim Members;
  time_line &Events;
  std::mt19937_64 Random;

  host_list Hosts;
  host_list_history HostsHistory;

  std::uint64_t NextOffset = 0;
  bool LogCaughtUp = false;
  std::size_t LogFailures = 0;
  bool LogReadOut = false;
  steady_time NextLogRead;
  bool HostsReadOut = false;
  steady_time NextHostsRead;
  record_refresh Refresh;
  steady_time NextRefresh;

  std::set<endpoint_text, std::less<>> PullsOut;
  std::set<endpoint_text, std::less<>> SyncedPeers;
  std::map<std::string, std::uint64_t, std::less<>> Wanted;
  steady_time NextFullPull;
  std::optional<steady_time> FirstTick;
  bool JoinPatienceOver = false;

  fleet_news News;
  key_giver Giver;
  key_receiver Receiver;
  bool HandOverEnded = false;

  ejection_holder Ejections;
  fleet_version_ref Published;

  standing_reports Reports;
  /// Services for which more requests wait than there are slots.
  recent_set<std::string> Floods{FloodEnds, MostFloods};
  steady_time OfferAgain;
  bool SuspectsSelf = false;
  bool Draining = false;

  std::uint64_t VersionNumber = 0;
  bool VersionStale = true;
};

} // namespace endiverail

#pragma once

#include "process/control_message.h"
#include "process/copy_requester.h"
#include "process/death_notices.h"
#include "process/keyed_store.h"
#include "process/peer_clocks.h"
#include "process/server_directory.h"
#include "process/server_freshness.h"
#include "process/statement_retransmitter.h"
#include "process/swim.h"
#include "process/topic_consumer.h"
#include "process/traffic_message.h"
#include "quota/fleet_quota.h"
#include "version/fleet_roles.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiverail {

/// Make a call to the store and report its end.
struct start_store_call {
  store_call Call;
  connection_choice Connection = connection_choice::Reuse;
};
/// Request a copy from a peer and report the end of the request.
struct fetch_copy {
  endpoint_text From;
};
/// Send a message to the given members immediately.
struct send_to_members {
  std::vector<endpoint_text> To;
  peer_message Message;
};
struct notify_traffic_threads {
  traffic_message Message;
};
/// Abort the calls that read a topic, without reporting their end.
struct abandon_store_calls {
  store_topic Topic = store_topic::Configuration;
};
using store_control_action =
    std::variant<start_store_call, abandon_store_calls, fetch_copy,
                 send_datagram, send_to_members, notify_traffic_threads,
                 publish_version>;
using store_control_actions = std::vector<store_control_action>;

struct store_control_settings {
  proxy_member Self;
  /// Addresses of initial peers, used while the store can't be read.
  std::vector<endpoint_text> Seeds;
  std::uint64_t Seed = 1;
  /// The configuration has to be in force within two seconds, so reads use long
  /// polling. The wait is short because a response may be lost without notice,
  /// and because few daemons read.
  poll_settings Configuration{milliseconds(50), milliseconds(700)};
  /// Servers renew their registrations all the time, so reads are periodic.
  /// Daemons learn that a server is leaving within a third of the two seconds
  /// that are allowed.
  poll_settings Servers{milliseconds(500), milliseconds(0)};
  /// How often servers renew their registrations in the store. A registration
  /// expires when two renewals are missed and the third is late, so none
  /// expires during an outage that is shorter than this.
  milliseconds RegistrationInterval{1'500};
  quota_settings Quotas{};
};

/// The control state of a daemon that gets its configuration and its backend
/// servers from a store. It has no sockets and no clock: events and times are
/// passed in, and the resulting actions are returned.
class store_control_state {
public:
  store_control_state(store_control_settings Settings, swim_timing Timing = {});

  void tick(steady_time Now, store_control_actions &Out);
  steady_time nextWake() const;
  /// The thread woke up late by \p Delay.
  void recordDelay(milliseconds Delay, steady_time Now) {
    Freshness.recordDelay(Delay, Now);
  }

  // Records from the store, in the order of a page. onPage() follows after all
  // records of the page.
  void onConfiguration(published_configuration Configuration,
                       std::string_view Value, steady_time Now);
  void onServer(std::string_view Id, const server_entry &Entry,
                steady_time Now);
  /// The server's record can't be decoded; it may come from another writer.
  void onServerUnreadable(std::string_view Id);
  void onServerRemoved(std::string_view Id, steady_time Now);
  void onMember(std::string_view Id, const endpoint_text &PeerAddress);
  void onPage(store_topic Topic, const keyed_page &Page, steady_time Now,
              store_control_actions &Out);
  /// The store has deleted records that were not read yet.
  void onRecordsDeleted(store_topic Topic, steady_time Now);
  void onCallFailed(store_topic Topic, steady_time Now,
                    store_control_actions &Out);
  /// An answer to a read of \p Topic, or to a write, is from the given history
  /// of the store. Returns whether the answer may be used: one from an earlier
  /// history may not, and with the first one from a later history, everything
  /// is read again.
  bool acceptHistory(std::optional<store_topic> Topic, std::uint64_t History,
                     steady_time Now, store_control_actions &Out);
  /// A read of a topic was sent; the header of a successful response was
  /// received.
  void onCallSent(store_topic Topic, steady_time Now);
  void onCallAnswering(store_topic Topic, steady_time Now);
  void onPut(bool Succeeded, steady_time Now);

  /// The copy for a peer that requests one; empty until this daemon is ready.
  std::optional<fleet_copy> copyForPeer(steady_time Now) const;
  /// The header of a peer's successful response was received.
  void onCopyAnswering(std::string_view Peer);
  /// A requested copy was received from a peer.
  void onCopy(std::string_view Peer, const fleet_copy &Copy,
              published_configuration Decoded, steady_time Now,
              store_control_actions &Out);
  void onCopyFailed(std::string_view Peer, steady_time Now);

  void onDatagram(const peer_message &Message, steady_time Now,
                  store_control_actions &Out);
  void onNotice(const control_notice &Notice, steady_time Now,
                store_control_actions &Out);

  /// Stops directing callers to this daemon.
  void drain(const shutdown_schedule &End, steady_time Now,
             store_control_actions &Out);
  /// Announces to the other members that this daemon leaves.
  void leave(steady_time Now, store_control_actions &Out);

  std::uint64_t version() const {
    return Configuration ? Configuration->Version : 0;
  }
  bool ready() const { return Configuration && ServersKnown; }
  bool storeAway() const { return StoreUnavailable; }
  /// Time from a peer's first announcement of the version in force until this
  /// daemon had it; 0 if the store was read before.
  milliseconds configurationDelay() const { return ConfigurationDelay; }
  std::vector<proxy_member> members() const { return Members.members(); }
  std::size_t serverCount() const { return Directory.servers().size(); }
  /// Time since the backend servers were last confirmed; empty before the first
  /// confirmation.
  std::optional<milliseconds> serversAge(steady_time Now) const;
  /// Until when requests may be sent to the published backend servers.
  steady_time serversUsableUntil() const { return Freshness.usableUntil(); }
  /// Number of changes of backend servers by their source: the store, a peer, a
  /// peer's copy, or the end of a grace period.
  const quota_ledger &quotaLedger() const { return Quota.ledger(); }
  const std::map<std::string, std::uint64_t, std::less<>> &
  serverChangeCounts() const {
    return ChangeCounts;
  }

private:
  /// If the store readers send nothing for this long, each daemon reads the
  /// configuration itself.
  static constexpr milliseconds ReaderTimeout{1'600};
  /// Time without any datagram after which a daemon counts as isolated; members
  /// ping each other twice a second.
  static constexpr milliseconds IsolationTimeout{1'000};
  /// After this time without a read the servers are listed again, because a
  /// listing is then smaller than the records that were written since.
  static constexpr milliseconds MaxReadGap{3'000};
  /// Minimum time between two immediate reads of the configuration.
  static constexpr milliseconds ImmediatePollInterval{300};
  /// A starting daemon knows no other members and would select itself as a
  /// reader. It polls the configuration only after this time.
  static constexpr milliseconds SettlingTime{1'500};
  static constexpr std::size_t StatementsPerDatagram = 60;
  /// Limit of response datagrams within each ResponsePeriod. A daemon that gets
  /// no response queries another member, and then reads the store.
  static constexpr std::size_t MaxResponses = 256;
  static constexpr milliseconds ResponsePeriod{100};
  static constexpr milliseconds PutRetryDelay{500};
  /// When the members hear that the store has returned from an older copy, they
  /// register again within this time for each of them, but not within less than
  /// MinRegistrationSpread: 200 writes a second at most.
  static constexpr milliseconds RegistrationPace{5};
  static constexpr milliseconds MinRegistrationSpread{1'000};
  /// The reads that such a member was making are made again within this time.
  static constexpr milliseconds RereadSpread{300};
  /// Members of a listing that are pinged at once; covers the users' largest
  /// fleet of today. In a larger fleet gossip spreads the others. Sending the
  /// burst takes less than a quarter of a second on a tenth of a core.
  static constexpr std::size_t MaxInitialPings = 256;
  /// Time within which listed members respond, even on slow hosts.
  static constexpr milliseconds InitialPingTime{300};
  /// Minimum time between two versions that differ only in their members. When
  /// a fleet starts, there are hundreds of changes within a second.
  static constexpr milliseconds MemberPublishInterval{100};
  /// Time between pings of members that may be lost.
  static constexpr milliseconds LostMemberPingInterval{1'000};

  topic_consumer &consumer(store_topic Topic);
  /// A peer knows of \p History of the store. If it is later than the known
  /// one, this daemon registers again, and everything that it reads itself is
  /// read again.
  void hearHistory(std::optional<std::uint64_t> History, std::string_view Peer,
                   steady_time Now, store_control_actions &Out);
  void updateStoreAvailability(bool Available, steady_time Now,
                               store_control_actions &Out);
  bool isReader() const;
  /// From when on no reader is assumed to be active.
  steady_time readersTimeOutAt() const;
  /// From when on this daemon counts as isolated from its peers.
  steady_time isolatedFrom() const {
    return LastPeerMessage + IsolationTimeout;
  }
  /// From when on this daemon reads the servers or the configuration itself.
  steady_time serversReadDue() const;
  steady_time configurationReadDue() const;
  /// From when on all present members are assumed to be known.
  steady_time settlingEnd() const;
  /// Only copies with a newer version are useful.
  std::uint64_t completeVersion() const { return ready() ? version() : 0; }
  void applyConfiguration(published_configuration Newer, std::string_view Value,
                          std::string_view Source, steady_time Now);
  void pollConfigurationNow(steady_time Now, store_control_actions &Out);
  void mergeServers(const peer_message &Message, steady_time Now,
                    store_control_actions &Out);
  /// Lower bound of the time as of which the sender's servers were confirmed;
  /// empty if it can't be determined.
  std::optional<steady_time> confirmationTime(const peer_message &Message,
                                              steady_time Now);
  /// Measures a member's clock offset, if that is due.
  void probeClock(const gossip_message &Member, steady_time Now,
                  store_control_actions &Out);
  /// Ends calls that reached their timeout.
  void endTimedOutCalls(steady_time Now, store_control_actions &Out);
  /// Confirms the known servers as of \p AsOf.
  void confirmServers(steady_time AsOf);
  /// Queries peers if their servers differ or the known servers are outdated.
  void queryServers(steady_time Now, store_control_actions &Out);
  void queryMember(std::string_view Id, steady_time Now,
                   store_control_actions &Out);
  /// Sends the differing servers to the sender, if it requests them.
  void answerQuery(const peer_message &Message, steady_time Now,
                   store_control_actions &Out);
  /// Sends statements in as many datagrams as needed, but at least one. \p Base
  /// has the other fields of each datagram.
  void sendStatements(std::span<const server_statement> Statements,
                      const std::vector<endpoint_text> &To,
                      const peer_message &Base, steady_time Now,
                      store_control_actions &Out) const;
  /// The member to query next; readers are preferred.
  std::optional<std::string> nextQueryTarget();
  /// Logs the changes of the servers and their source.
  void logServerChanges(std::string_view Source, std::string_view Peer = "");
  void broadcastServers(steady_time Now, store_control_actions &Out);
  /// Sends the deaths of backend servers that are due.
  void sendDeaths(steady_time Now, store_control_actions &Out);
  void updateQuotaMembers(steady_time Now);
  /// Sends a report of this process to the coordinators of its organisations.
  void reportQuotaUse(const quota_report &Report, steady_time Now,
                      store_control_actions &Out);
  /// Counts a report for the organisations that this process coordinates.
  std::vector<quota_share> countQuotaUse(std::string_view Process,
                                         const quota_report &Report,
                                         steady_time Now);
  void onQuotaMessage(const peer_message &Message, steady_time Now,
                      store_control_actions &Out);
  void announceQuotaShares(steady_time Now, store_control_actions &Out);
  void probeLostMember(steady_time Now);
  void pingListedMembers(steady_time Now, store_control_actions &Out);
  /// \p Received is the datagram that triggered the gossip, if any.
  void sendGossip(std::vector<outgoing_gossip> &Gossip, steady_time Now,
                  store_control_actions &Out,
                  const peer_message *Received = nullptr) const;
  void sendNews(peer_message Message, std::vector<endpoint_text> To,
                steady_time Now, store_control_actions &Out) const;
  /// Adds the fields that summarise what the sender knows.
  void addDigests(peer_message &Message, steady_time Now) const;
  std::vector<endpoint_text>
  addressesOf(std::span<const proxy_member *const> Members) const;
  /// All other members, including those that are considered lost: such a member
  /// may still be running and serve callers with outdated information.
  std::vector<endpoint_text> aliveAndLostPeers() const;
  /// Returns whether the published members have changed.
  bool takeMemberChanges();
  void publishIfChanged(steady_time Now, store_control_actions &Out);
  void publish(steady_time Now, store_control_actions &Out);

  store_control_settings Settings;
  swim Members;
  topic_consumer ConfigurationConsumer;
  topic_consumer ServersConsumer;
  topic_consumer MembersConsumer;
  server_directory Directory;
  server_freshness Freshness;
  peer_clocks Clocks;
  statement_retransmitter Retransmitter;
  std::optional<published_configuration> Configuration;
  /// The value of the configuration's record.
  std::string ConfigurationValue;
  milliseconds ConfigurationDelay{0};
  copy_requester CopyRequester;
  death_notices Deaths;
  fleet_quota Quota;
  /// Whether the configuration has to be announced to the other members.
  bool AnnouncePending = false;
  /// All peer addresses that were ever known, by host.
  std::map<std::string, endpoint_text, std::less<>> KnownPeers;
  std::mt19937_64 Random;
  bool ServersKnown = false;
  bool StoreUnavailable = false;
  std::optional<std::uint64_t> StoreHistory;
  bool Draining = false;
  std::optional<shutdown_schedule> End;
  bool Registered = false;
  bool PutPending = false;
  steady_time PutDue;
  steady_time NextLostPing;
  steady_time Started;
  /// When the first listing of the members was complete.
  std::optional<steady_time> MembersListed;
  bool Settled = false;
  steady_time LastPublished;
  steady_time LastReaderMessage;
  steady_time LastPeerMessage;
  steady_time LastImmediatePoll;
  std::size_t NextQueryIndex = 0;
  steady_time ResponsePeriodStart;
  std::size_t ResponseCount = 0;
  bool Changed = true;
  std::vector<proxy_member> PublishedMembers;
  /// The revision of Members that PublishedMembers was taken from.
  std::uint64_t PublishedMembersRevision = 0;
  /// The published members that read the store on behalf of all.
  std::vector<std::string> Readers;
  /// The members that callers are directed to; they point into
  /// PublishedMembers.
  std::vector<const proxy_member *> Entries;
  std::uint64_t VersionNumber = 0;
  std::map<std::string, std::uint64_t, std::less<>> ChangeCounts;
};

} // namespace endiverail

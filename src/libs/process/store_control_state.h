#pragma once

#include "process/control_message.h"
#include "process/copy_seeker.h"
#include "process/keyed_store.h"
#include "process/leaving_repeats.h"
#include "process/peer_clocks.h"
#include "process/server_directory.h"
#include "process/server_freshness.h"
#include "process/swim.h"
#include "process/topic_follower.h"
#include "process/traffic_message.h"
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

/// A call to the store is to be made; its end is to be told.
struct start_store_call {
  store_call Call;
  connection_choice Connection = connection_choice::Reuse;
};
/// A peer is to be asked for a copy of what it knows; the end is to be told.
struct fetch_copy {
  endpoint_text From;
};
/// All other members are to hear of it at once.
struct send_to_members {
  std::vector<endpoint_text> To;
  peer_message Message;
};
struct tell_traffic_threads {
  traffic_message Message;
};
/// The calls that read a topic are to be given up without a report.
struct abandon_store_calls {
  store_topic Topic = store_topic::Configuration;
};
using store_control_action =
    std::variant<start_store_call, abandon_store_calls, fetch_copy,
                 send_datagram, send_to_members, tell_traffic_threads,
                 publish_version>;
using store_control_actions = std::vector<store_control_action>;

struct store_control_settings {
  proxy_member Self;
  /// Peer addresses to begin with while the store can't be read.
  std::vector<endpoint_text> Seeds;
  std::uint64_t Seed = 1;
  /// The configuration has to be in force within two seconds, so a read waits
  /// at the store. It does not wait long: its answer may be lost without a
  /// sign, and few daemons read.
  follow_terms Configuration{milliseconds(50), milliseconds(700)};
  /// Servers state themselves all the time, so reads come at a pace: a leaving
  /// server is known within a third of the two seconds that it may take.
  follow_terms Servers{milliseconds(500), milliseconds(0)};
  /// How often servers state themselves at the store. A registration lapses
  /// when two statements are missed and the third is late, so that none lapses
  /// by an absence of the store that is shorter than this.
  milliseconds RegistrationInterval{1'500};
};

/// The control state of a daemon whose configuration and backend servers come
/// from a store. It knows no sockets and no clock: what comes in is told, and
/// what is to be done comes out as actions.
class store_control_state {
public:
  store_control_state(store_control_settings Settings, swim_timing Timing = {});

  void tick(steady_time Now, store_control_actions &Out);
  steady_time nextWake() const;
  /// The thread has woken that long after it was to.
  void noteLate(milliseconds By, steady_time Now) {
    Freshness.noteLate(By, Now);
  }

  // What the store has told, in the order of the records of a page. onPage
  // comes after all records of the page.
  void onConfiguration(published_configuration Configuration,
                       std::string_view Value);
  void onServer(std::string_view Id, const server_entry &Entry,
                steady_time Now);
  /// The server's record can't be read; it may come from another writer.
  void onServerUnreadable(std::string_view Id);
  void onServerRemoved(std::string_view Id, steady_time Now);
  void onMember(std::string_view Id, const endpoint_text &PeerAddress);
  void onPage(store_topic Topic, const keyed_page &Page, steady_time Now,
              store_control_actions &Out);
  /// The store has deleted records that were to be read.
  void onForgotten(store_topic Topic, steady_time Now);
  void onCallFailed(store_topic Topic, steady_time Now,
                    store_control_actions &Out);
  /// A call that reads a topic has left on its connection; the head of a
  /// successful answer is there.
  void onCallSent(store_topic Topic, steady_time Now);
  void onCallAnswering(store_topic Topic, steady_time Now);
  void onPut(bool Succeeded, steady_time Now);

  /// What this daemon knows, for a peer that lacks it; nothing until it is
  /// ready.
  std::optional<fleet_copy> copyForPeer(steady_time Now) const;
  /// A peer has handed over what it knows.
  void onCopy(const fleet_copy &Copy, published_configuration Decoded,
              steady_time Now, store_control_actions &Out);
  void onCopyFailed(steady_time Now);

  void onDatagram(const peer_message &Message, steady_time Now,
                  store_control_actions &Out);
  void onNotice(const control_notice &Notice, steady_time Now,
                store_control_actions &Out);

  /// Callers are to be told of this daemon no more.
  void drain(const shutdown_schedule &End, steady_time Now,
             store_control_actions &Out);
  /// Says good-bye.
  void leave(steady_time Now, store_control_actions &Out);

  std::uint64_t version() const {
    return Configuration ? Configuration->Version : 0;
  }
  bool ready() const { return Configuration && ServersKnown; }
  bool storeAway() const { return StoreAway; }
  std::vector<proxy_member> members() const { return Members.members(); }
  std::size_t serverCount() const { return Directory.servers().size(); }
  /// How long ago what is known of the backend servers was confirmed; nothing
  /// before.
  std::optional<milliseconds> serversAge(steady_time Now) const;
  /// Until when requests may be sent to backend servers by what was published.
  steady_time serversUsableUntil() const { return Freshness.usableUntil(); }
  /// How many changes among the backend servers became known so far, by what
  /// has told them: the store, a peer, a peer's copy, or the end of a grace.
  const std::map<std::string, std::uint64_t, std::less<>> &
  serverChangeCounts() const {
    return ChangeCounts;
  }

private:
  /// Without news from those who read the store, each daemon reads the
  /// configuration for itself.
  static constexpr milliseconds ReaderSilence{1'600};
  /// Members ping each other twice a second.
  static constexpr milliseconds LonelyAfter{1'000};
  /// A reader that has not read for that long lists anew: a listing is then
  /// smaller than the records in between.
  static constexpr milliseconds LongestGap{3'000};
  /// Between two hurried reads of the configuration.
  static constexpr milliseconds HurryPause{300};
  /// Right after its start a daemon takes itself for a reader, as it knows no
  /// other member; it begins to follow the configuration after that time.
  static constexpr milliseconds SettlingTime{1'500};
  static constexpr std::size_t StatementsPerDatagram = 60;
  /// Datagrams that answer questions within AnswerPeriod; who gets no answer
  /// asks another member, and then the store.
  static constexpr std::size_t MostAnswers = 256;
  static constexpr milliseconds AnswerPeriod{100};
  static constexpr milliseconds PutRetry{500};
  /// Members of a listing that are pinged at once: all of the users' largest
  /// fleet of today. In a larger one gossip tells of the others, and a burst
  /// stays below a quarter of a second on a tenth of a core.
  static constexpr std::size_t MostMetAtOnce = 256;
  /// In which the members of a listing answer, also from weak hosts.
  static constexpr milliseconds MeetingTime{300};
  /// Between two versions that differ in members only: when a fleet starts,
  /// hundreds of changes come within a second.
  static constexpr milliseconds MemberChangePause{100};
  /// Between pings of a member that is believed lost.
  static constexpr milliseconds LostMemberPing{1'000};

  topic_follower &follower(store_topic Topic);
  void noteStore(bool Answers, steady_time Now, store_control_actions &Out);
  bool isReader() const;
  /// From when on nobody is taken to read the store for all.
  steady_time readersSilentFrom() const;
  /// From when on no peer is taken to be heard.
  steady_time lonelyFrom() const { return LastHeard + LonelyAfter; }
  /// From when on this daemon reads for itself.
  steady_time readsServersFrom() const;
  steady_time readsConfigurationFrom() const;
  /// From when on the members that are there are taken to be known.
  steady_time settledFrom() const;
  /// The version beyond which copies are of use.
  std::uint64_t completeVersion() const { return ready() ? version() : 0; }
  void hurryConfiguration(steady_time Now, store_control_actions &Out);
  void learnServers(const peer_message &Message, steady_time Now,
                    store_control_actions &Out);
  /// As of when, at least, the sender knew what the message says; nothing where
  /// that can't be told.
  std::optional<steady_time> confirmedAsOf(const peer_message &Message,
                                           steady_time Now);
  /// Measures how a member's clock stands, if that is due.
  void askClockOf(const gossip_message &Member, steady_time Now,
                  store_control_actions &Out);
  /// Gives up calls that get no answer.
  void endSilentCalls(steady_time Now, store_control_actions &Out);
  /// What is known of the servers holds at \p AsOf.
  void confirmServers(steady_time AsOf);
  /// Asks peers where what is known of the servers differs or is old.
  void askForServers(steady_time Now, store_control_actions &Out);
  void askMember(std::string_view Id, steady_time Now,
                 store_control_actions &Out);
  /// Tells the sender what it lacks, if it asks.
  void answerQuestion(const peer_message &Message, steady_time Now,
                      store_control_actions &Out);
  /// Sends statements in as many datagrams as they take, in one at least;
  /// \p Frame is what each of them says beside.
  void sendStatements(std::span<const server_statement> Statements,
                      const std::vector<endpoint_text> &To,
                      const peer_message &Frame, steady_time Now,
                      store_control_actions &Out) const;
  /// Somebody who may know better, a reader rather than another member.
  std::optional<std::string> nextToAsk();
  /// Writes what has become known of the servers, and who has told it.
  void logServerChanges(std::string_view Source, std::string_view Peer = "");
  void tellServers(steady_time Now, store_control_actions &Out);
  void suggestLostMember(steady_time Now);
  void meetListedMembers(steady_time Now, store_control_actions &Out);
  /// \p Received is the datagram that it follows from, if it does.
  void sendGossip(std::vector<outgoing_gossip> &Gossip, steady_time Now,
                  store_control_actions &Out,
                  const peer_message *Received = nullptr) const;
  void sendNews(peer_message Message, std::vector<endpoint_text> To,
                steady_time Now, store_control_actions &Out) const;
  /// What each datagram says of what its sender knows.
  void addDigests(peer_message &Message, steady_time Now) const;
  std::vector<endpoint_text>
  addressesOf(std::span<const proxy_member *const> Members) const;
  /// All other members, and those believed lost: one that lives serves callers
  /// by what it knows.
  std::vector<endpoint_text> peersThatMayLive() const;
  /// Returns whether the members that are published have changed.
  bool takeMemberChanges();
  void publishIfChanged(steady_time Now, store_control_actions &Out);
  void publish(steady_time Now, store_control_actions &Out);

  store_control_settings Settings;
  swim Members;
  topic_follower ConfigurationFollower;
  topic_follower ServersFollower;
  topic_follower MembersFollower;
  server_directory Directory;
  server_freshness Freshness;
  peer_clocks Clocks;
  leaving_repeats Repeats;
  std::optional<published_configuration> Configuration;
  /// Its record's value.
  std::string ConfigurationValue;
  copy_seeker Seeker;
  /// The other members are to hear of the configuration.
  bool Announcing = false;
  /// All peer addresses that were ever told of, by host.
  std::map<std::string, endpoint_text, std::less<>> KnownPeers;
  std::mt19937_64 Random;
  bool ServersKnown = false;
  bool StoreAway = false;
  bool Draining = false;
  std::optional<shutdown_schedule> End;
  bool Registered = false;
  bool PutOut = false;
  steady_time PutDue;
  steady_time NextLostPing;
  steady_time Started;
  /// When the members were first listed.
  std::optional<steady_time> MembersListed;
  bool Settled = false;
  steady_time LastPublished;
  steady_time LastReaderNews;
  steady_time LastHeard;
  steady_time LastHurry;
  std::size_t NextToAsk = 0;
  steady_time AnswersSince;
  std::size_t Answers = 0;
  bool Changed = true;
  std::vector<proxy_member> PublishedMembers;
  /// The members' revision that they are of.
  std::uint64_t MembersTaken = 0;
  /// Those of the published members that read the store for all.
  std::vector<std::string> Readers;
  /// Those that callers are led to; they point into PublishedMembers.
  std::vector<const proxy_member *> Entries;
  std::uint64_t VersionNumber = 0;
  std::map<std::string, std::uint64_t, std::less<>> ChangeCounts;
};

} // namespace endiverail

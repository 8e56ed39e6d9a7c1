#include "base/hash.h"
#include "failure_check.h"
#include "process/control_state.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// A control state whose log is simulated by the test.
struct control_fixture {
  control_fixture() {
    service_definition Definition;
    Definition.Name = Definition.Pool = "s";
    Definition.PoolSize = 4;
    Definition.MinHealthyServers = 3;
    Record.Definition = Definition;
    Record.Content = "content";
    Record.ContentHash = sha256Hex("content");
    Record.Version = 1;
    Record.Signer = Customer.Public;
    Record.Signature =
        valueOf(sign(Customer, signedText("s", "", Record.ContentHash, 1)));
    Hosts.Revision = 1;
    for (const char *Server : {"a", "b", "c", "d"})
      Hosts.Servers.push_back({Server, "s", "dc", server_state::Live});
    page({log_entry{0, Clock, Record}});
    State.onHosts(Hosts, Now, Out);
    tick(6s);
  }

  void page(std::vector<log_entry> Entries) {
    log_page Page;
    Page.Next = Page.End = 100;
    Page.NowMilliseconds = Clock;
    Page.RetentionMilliseconds = 100'000;
    Page.Entries = std::move(Entries);
    State.onLogPage(Page, Now, Out);
  }

  void tick(milliseconds Time) {
    for (milliseconds Step = 0ms; Step < Time; Step += 100ms) {
      Now += 100ms;
      Clock += 100;
      State.tick(Now, Out);
    }
  }

  /// A datagram of a peer, to which the tests add gossip items.
  peer_message peerMessage() const {
    peer_message Message;
    Message.Gossip.SenderId = "q";
    Message.Gossip.SenderAddress = "q:1";
    Message.Gossip.Updates = {{{"q", "dc", "q:1", 1, true}, 0, {}}};
    Message.Digest = {State.records().digest(), Hosts.Revision};
    return Message;
  }

  std::size_t events(event_kind Kind) const {
    auto All = Events.since({});
    return static_cast<std::size_t>(
        std::ranges::count(All, Kind, &timeline_event::Kind));
  }

  template <typename Action> std::vector<Action> take() {
    std::vector<Action> Found;
    for (const control_action &Each : Out)
      if (const auto *Typed = std::get_if<Action>(&Each))
        Found.push_back(*Typed);
    Out.clear();
    return Found;
  }

  std::vector<ejection_claim> claims() {
    std::vector<ejection_claim> Found;
    for (const append_log &Append : take<append_log>())
      if (const auto *Claim = std::get_if<ejection_claim>(&Append.Record))
        Found.push_back(*Claim);
    return Found;
  }

  std::vector<ejection_changed> ejections() {
    std::vector<ejection_changed> Found;
    for (const notify_traffic &Notify : take<notify_traffic>())
      if (const auto *Change = std::get_if<ejection_changed>(&Notify.Message))
        Found.push_back(*Change);
    return Found;
  }

  signing_key Customer = valueOf(signing_key::generate());
  timeline Events{100};
  steady_time Now{1h};
  std::int64_t Clock = 1'000'000;
  acceptance Record;
  host_list Hosts;
  control_actions Out;
  control_state State = valueOf(control_state::create(
      {{"p", "dc", "p:1", 1, true}, {Customer.Public}, {}, {}, 1'200s, 1},
      Events));
};

} // namespace

TEST_CASE_METHOD(control_fixture, "an ejection starts when its claim is read") {
  REQUIRE(State.ready());
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  auto Claims = claims();
  REQUIRE(Claims.size() == 1);
  CHECK(ejections().empty());
  page({log_entry{1, Clock, Claims[0]}});
  auto Changes = ejections();
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Until > Now);
  CHECK(*Changes[0].Until <=
        Now + ejection_ledger::Lease - ejection_ledger::HolderMargin);
}

TEST_CASE_METHOD(control_fixture, "no ejection is made below the floor") {
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  auto First = claims();
  page({log_entry{1, Clock, First.at(0)}});
  Out.clear();
  State.onNotice(ejection_request{"s", "b", true}, Now, Out);
  auto Second = claims();
  page({log_entry{2, Clock, Second.at(0)}});
  CHECK(ejections().empty());
}

TEST_CASE_METHOD(control_fixture,
                 "a leaving server counts against the budget") {
  Hosts.Revision = 2;
  Hosts.Servers[3].State = server_state::Leaving;
  State.onHosts(Hosts, Now, Out);
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  auto Claims = claims();
  REQUIRE(Claims.size() == 1);
  CHECK(Claims[0].Unavailable == 1);
  page({log_entry{1, Clock, Claims[0]}});
  CHECK(ejections().empty());
}

TEST_CASE_METHOD(control_fixture, "no server is ejected without the log") {
  for (int Count = 0; Count < 5; ++Count)
    State.onLogFailure(Now, Out);
  CHECK(State.storeAway());
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  CHECK(claims().empty());
}

TEST_CASE_METHOD(control_fixture,
                 "a claim that is never read back ejects no server") {
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  Out.clear();
  for (int Count = 0; Count < 60; ++Count) {
    tick(1s);
    page({});
    CHECK(ejections().empty());
  }
}

TEST_CASE_METHOD(control_fixture,
                 "an ejection ends in time when its renewals are lost") {
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  page({log_entry{1, Clock, claims().at(0)}});
  steady_time Until = *ejections().at(0).Until;
  for (int Count = 0; Count < 60; ++Count) {
    tick(1s);
    State.onNotice(ejection_request{"s", "a", true}, Now, Out);
    page({});
    for (const ejection_changed &Change : ejections())
      CHECK((!Change.Until || *Change.Until <= Until));
  }
}

TEST_CASE_METHOD(control_fixture, "raising the floor ends an ejection") {
  Out.clear();
  State.onNotice(ejection_request{"s", "a", true}, Now, Out);
  page({log_entry{1, Clock, claims().at(0)}});
  REQUIRE(ejections().size() == 1);
  acceptance Raised = Record;
  Raised.Definition.MinHealthyServers = 4;
  Raised.Content = "raised";
  Raised.ContentHash = sha256Hex("raised");
  Raised.Parent = Record.ContentHash;
  Raised.Version = 2;
  Raised.Signature =
      valueOf(sign(Customer, signedText("s", Raised.Parent, Raised.ContentHash,
                                        Raised.Version)));
  page({log_entry{2, Clock, Raised}});
  auto Changes = ejections();
  REQUIRE(Changes.size() == 1);
  CHECK_FALSE(Changes[0].Until);
}

TEST_CASE_METHOD(control_fixture,
                 "records are appended again before their retention ends") {
  Out.clear();
  tick(40s);
  page({});
  CHECK(claims().empty());
  Out.clear();
  for (int Count = 0; Count < 30; ++Count) {
    tick(1s);
    page({});
  }
  std::size_t Refreshed = 0;
  for (const append_log &Append : take<append_log>())
    if (const auto *Accepted = std::get_if<acceptance>(&Append.Record)) {
      CHECK(Accepted->Refresh);
      CHECK(Accepted->Version == 1);
      ++Refreshed;
    }
  CHECK(Refreshed == 1);
}

TEST_CASE_METHOD(control_fixture, "a draining proxy is no longer handed out") {
  Out.clear();
  State.drain(Now, Out);
  auto Versions = take<publish_version>();
  REQUIRE_FALSE(Versions.empty());
  CHECK(Versions.back().Version->Draining);
  CHECK_FALSE(Versions.back().Version->View.findProxy("p")->Offered);
}

TEST_CASE_METHOD(control_fixture,
                 "known gossip items are not forwarded again") {
  // If a member treated a known item as new, it would forward it again and the
  // item would circulate in the fleet forever.
  peer_message Message = peerMessage();
  SECTION("the death of a backend server") {
    Message.Deaths = {{"s", 7, "a"}};
    std::size_t Forwarded = 0;
    for (int Count = 0; Count < 300; ++Count) {
      tick(100ms);
      State.onDatagram(Message, Now, Out);
      for (const send_datagram &Sent : take<send_datagram>())
        Forwarded += Sent.Message.Deaths.size();
    }
    CHECK(events(event_kind::RequestQuarantined) == 1);
    CHECK(Forwarded > 0);
    CHECK(Forwarded <= fleet_gossip::Copies);
  }
  SECTION("a leaving backend server") {
    Message.Leaving = {{"s", "a"}};
    std::size_t Forwarded = 0;
    for (int Count = 0; Count < 300; ++Count) {
      tick(100ms);
      State.onDatagram(Message, Now, Out);
      for (const send_datagram &Sent : take<send_datagram>())
        Forwarded += Sent.Message.Leaving.size();
    }
    CHECK(events(event_kind::ServerLeaving) == 1);
    CHECK(Forwarded > 0);
    CHECK(Forwarded <= fleet_gossip::Copies);
  }
}

TEST_CASE_METHOD(
    control_fixture,
    "gossip items that do not fit into one datagram are all sent") {
  peer_message Message = peerMessage();
  for (request_fingerprint Work = 0; Work < 40; ++Work)
    State.onNotice(server_death{"s", Work, "a"}, Now, Out);
  std::set<request_fingerprint> Forwarded;
  for (int Count = 0; Count < 300; ++Count) {
    tick(100ms);
    State.onDatagram(Message, Now, Out);
    for (const send_datagram &Sent : take<send_datagram>())
      for (const server_death &Death : Sent.Message.Deaths)
        Forwarded.insert(Death.Fingerprint);
  }
  CHECK(Forwarded.size() == 40);
}

TEST_CASE_METHOD(control_fixture,
                 "a new proxy receives the deaths of backend servers") {
  server_death Death{"s", 7, "a"};
  State.onNotice(Death, Now, Out);
  pull_request Request;
  Request.WantMembers = true;
  pull_reply Reply = State.answerPull(Request);
  REQUIRE(Reply.Deaths == std::vector{Death});

  control_fixture New;
  New.Out.clear();
  New.State.onPullReply("q:1", Reply, New.Now, New.Out);
  bool TrafficNotified = false;
  for (const notify_traffic &Notify : New.take<notify_traffic>())
    TrafficNotified |= std::holds_alternative<server_death>(Notify.Message) &&
                       std::get<server_death>(Notify.Message) == Death;
  CHECK(TrafficNotified);
}

TEST_CASE_METHOD(control_fixture,
                 "keys are handed over to one heir, and from it to the next") {
  const proxy_incarnation Ended{"g", 1};
  const proxy_incarnation Self{"p", 1};
  key_hand_over Part{Ended, Self, {{Ended, Self, 1}},
                     0,     1,    {{"s/key", Ended, {{}, "body"}}}};
  Out.clear();
  SECTION(
      "the traffic threads get the keys before the proxy becomes the heir") {
    REQUIRE_FALSE(
        failureOf([&] { return State.onKeyHandOver(Part, Now, Out); }));
    bool KeysSent = false;
    bool HeirPublished = false;
    for (const control_action &Action : Out) {
      if (const auto *Notify = std::get_if<notify_traffic>(&Action))
        KeysSent |= std::holds_alternative<inherited_keys>(Notify->Message);
      if (const auto *Publish = std::get_if<publish_version>(&Action)) {
        CHECK(KeysSent);
        HeirPublished |=
            Publish->Version->KeySuccessors.holderOf(Ended) == Self;
      }
    }
    CHECK(HeirPublished);
    pull_request Request;
    Request.WantMembers = true;
    CHECK(State.answerPull(Request).Heirs ==
          std::vector<key_successor>{{Ended, Self, 1}});
  }
  SECTION("an heir that shuts down hands over inherited keys") {
    REQUIRE_FALSE(
        failureOf([&] { return State.onKeyHandOver(Part, Now, Out); }));
    State.onDatagram(peerMessage(), Now, Out);
    Out.clear();
    State.handOver({}, Out);
    auto Delivered = take<deliver_keys>();
    REQUIRE(Delivered.size() == 1);
    const proxy_incarnation Next{"q", 1};
    CHECK(Delivered[0].To == "q:1");
    CHECK(Delivered[0].Part.Rights ==
          std::vector<key_successor>{{Self, Next, 1}, {Ended, Next, 2}});
    CHECK_FALSE(State.handOverEnded());
    State.onKeysDelivered(key_delivery::Accepted, Out);
    CHECK(State.handOverEnded());
  }
  SECTION("a proxy that shuts down can't become an heir") {
    State.drain(Now, Out);
    CHECK(failureOf([&] { return State.onKeyHandOver(Part, Now, Out); }) ==
          error_kind::Draining);
  }
  SECTION("of two hand-overs the later one applies in any order of arrival") {
    key_successor First{Ended, {"x", 1}, 1};
    key_successor Second{Ended, {"y", 1}, 2};
    for (auto Order : {std::vector{First, Second}, {Second, First}}) {
      control_fixture Fixture;
      for (const key_successor &Heir : Order) {
        peer_message Message = Fixture.peerMessage();
        Message.Heirs = {Heir};
        Fixture.State.onDatagram(Message, Fixture.Now, Fixture.Out);
      }
      auto Versions = Fixture.take<publish_version>();
      REQUIRE_FALSE(Versions.empty());
      CHECK(Versions.back().Version->KeySuccessors.holderOf(Ended) ==
            Second.Successor);
    }
  }
  SECTION("the hand-over ends immediately without another proxy") {
    State.handOver({}, Out);
    CHECK(State.handOverEnded());
  }
}

TEST_CASE_METHOD(control_fixture,
                 "a server moves to an owner that can reach it") {
  State.onDatagram(peerMessage(), Now, Out);
  auto OwnerOf = [&](std::string_view Server) {
    std::string Id;
    for (const publish_version &Publish : take<publish_version>())
      for (const service_owner &Owner : Publish.Version->ownersOf("s"))
        if (std::ranges::find(Owner.Servers, Server,
                              &backend_server::Address) != Owner.Servers.end())
          Id = Owner.ProxyId;
    return Id;
  };
  for (const char *Server : {"a", "b", "c", "d"}) {
    INFO(Server);
    State.onNotice(path_fault_notice{"s", Server}, Now, Out);
    CHECK(OwnerOf(Server) == "q");
  }
  CHECK(events(event_kind::PathFault) == 4);
  // The path fault expires after a while.
  Out.clear();
  tick(40s);
  CHECK(OwnerOf("a") != "");
  CHECK(State.answerPull({{}, false, 0, true}).PathFaults.empty());
}

TEST_CASE_METHOD(control_fixture,
                 "floods and ownership changes are recorded in the timeline") {
  CHECK(events(event_kind::OwnershipChanged) == 1);
  service_status_report Report{
      "s", 12, {{"a", {}, 6, 6, 0}, {"b", {}, 6, 6, 0}}};
  State.onNotice(Report, Now, Out);
  CHECK(events(event_kind::FloodStarted) == 0);
  Report.Waiting = 13;
  for (int Count = 0; Count < 3; ++Count) {
    tick(1s);
    State.onNotice(Report, Now, Out);
  }
  CHECK(events(event_kind::FloodStarted) == 1);
  CHECK(events(event_kind::FloodEnded) == 0);
  tick(7s);
  CHECK(events(event_kind::FloodEnded) == 1);
}

TEST_CASE_METHOD(control_fixture,
                 "a peer receives the changes that its host list lacks") {
  host_list Before = Hosts;
  Hosts.Revision = 2;
  Hosts.Servers[3].State = server_state::Leaving;
  State.onHosts(Hosts, Now, Out);
  pull_reply Reply = State.answerPull({{}, true, Before.Revision, false});
  CHECK(Reply.Hosts.Servers.empty());
  REQUIRE(Reply.HostsChange);
  CHECK(Reply.HostsChange->Servers.size() == 1);

  control_fixture Peer;
  Peer.State.onPullReply("p:1", Reply, Peer.Now, Peer.Out);
  CHECK(Peer.State.hosts().Revision == 2);
  CHECK(Peer.State.hosts().Servers == Hosts.Servers);
  // A peer that has moved on is not affected by the change; one without a list
  // gets the complete list.
  Peer.State.onPullReply("p:1", Reply, Peer.Now, Peer.Out);
  CHECK(Peer.State.hosts().Servers == Hosts.Servers);
  CHECK(State.answerPull({{}, false, 0, true}).Hosts.Servers == Hosts.Servers);
}

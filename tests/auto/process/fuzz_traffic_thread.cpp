#include "traffic_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>
#include <utility>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// Reference model of the traffic thread. Records how often each request ran
/// and what each caller was told.
class traffic_model {
public:
  explicit traffic_model(std::uint64_t Seed) : Random(Seed) {}

  void step() {
    switch (pick(12)) {
    case 0:
    case 1:
    case 2:
      sendNew();
      break;
    case 3:
      resend();
      break;
    case 4:
    case 5:
    case 6:
      respondToOne();
      break;
    case 7:
      failOne();
      break;
    case 8:
      Fixture.advance(milliseconds(10 * pick(30)));
      break;
    case 9:
      changeVersion();
      break;
    case 10:
      inherit();
      break;
    default:
      disconnectCaller();
      break;
    }
    check();
  }

  /// Completes all attempts and checks that each request is answered.
  void finish() {
    // Attempts may still start after a pause, for example when the holder of a
    // key was unknown at first.
    for (int IdleRounds = 0; IdleRounds < 10; ++IdleRounds) {
      if (!Fixture.attempts().empty())
        IdleRounds = 0;
      respondToOne();
      check();
      Fixture.advance(100ms);
      check();
    }
    Fixture.advance(3000ms);
    check();
    for (const auto &[Caller, Sent] : Callers)
      RC_ASSERT(Sent.Gone || Fixture.response(Caller).Ended ||
                Fixture.response(Caller).Broken);
  }

private:
  struct sent_request {
    std::string Target;
    bool Write = false;
    bool Gone = false;
    bool OutcomeChecked = false;
  };
  struct keyed_request {
    std::string Target;
    proxy_incarnation Issuer;
  };

  static inline const proxy_incarnation Self{"self", 7};
  static inline const proxy_incarnation Other{"other", 8};
  /// Terminates at some time and hands its keys over to this process or to the
  /// other proxy.
  static inline const proxy_incarnation Ended{"ended", 3};

  std::size_t pick(std::size_t Count) { return Random() % Count; }

  void sendNew() {
    bool Write = pick(2) == 0;
    std::string Target = "/s/" + std::to_string(++LastRequest);
    std::string Key;
    if (Write && pick(2) == 0) {
      const proxy_incarnation Issuers[]{Self, Self, Other, Ended};
      Keyed.push_back({Target, Issuers[pick(4)]});
      Key = keyOf(Keyed.back());
    }
    send(Target, Write, Key);
  }

  void resend() {
    if (Keyed.empty())
      return;
    const keyed_request &Chosen = Keyed[pick(Keyed.size())];
    send(Chosen.Target, true, keyOf(Chosen));
  }

  static std::string keyOf(const keyed_request &Keyed) {
    return traffic_fixture::key(Keyed.Issuer.ProxyId, Keyed.Issuer.Incarnation,
                                Keyed.Target.substr(3));
  }

  /// Terminates, once, the proxy that issued some of the keys. It has run some
  /// of the requests before.
  void inherit() {
    if (!Fixture.KeySuccessors.empty() || pick(4) != 0)
      return;
    bool ToSelf = pick(2) == 0;
    inherited_keys Inherited{"s", {}};
    for (const keyed_request &Each : Keyed)
      if (Each.Issuer == Ended && pick(2) == 0) {
        ++Runs[Each.Target];
        Inherited.Keys.push_back(
            {"s/" + keyOf(Each), Ended, {{}, "answer to " + Each.Target}});
      }
    if (ToSelf)
      Fixture.deliver(std::move(Inherited));
    Fixture.KeySuccessors = {{Ended, ToSelf ? Self : Other, 1}};
    changeVersion();
  }

  /// Whether this process may run a request with a key.
  bool holdsKeyOf(const keyed_request &Request) const {
    return Request.Issuer == Self ||
           (Request.Issuer == Ended && !Fixture.KeySuccessors.empty() &&
            Fixture.KeySuccessors[0].Successor == Self);
  }

  void send(const std::string &Target, bool Write, const std::string &Key) {
    auto Caller = Fixture.send(Write ? "POST" : "GET", Target, Key);
    Callers[Caller] = {Target, Write, false};
  }

  std::optional<started_attempt> anyAttempt() {
    auto &Attempts = Fixture.attempts();
    if (Attempts.empty())
      return std::nullopt;
    return std::next(Attempts.begin(),
                     static_cast<std::ptrdiff_t>(pick(Attempts.size())))
        ->second;
  }

  void respondToOne() {
    auto Attempt = anyAttempt();
    if (!Attempt)
      return;
    std::string Body = "answer to " + Attempt->Target;
    std::vector<header_field> Headers{
        {"Endiverail-Attempt",
         std::string(findHeader(Attempt->Headers, AttemptHeader))}};
    bool ToPeer = Attempt->Server == "other:1";
    switch (pick(6)) {
    case 0:
      // Shed by the backend server, so it did not run.
      if (ToPeer)
        Headers = {{"Endiverail-Outcome",
                    toHolder(*Attempt) && Runs.contains(Attempt->Target)
                        ? "unknown"
                        : "not-run"}};
      else
        Headers.push_back({"Endiverail-Not-Run", "true"});
      Fixture.transport().respond(Attempt->Id, 503, "", Headers);
      return;
    case 1:
      recordRun(*Attempt);
      if (ToPeer)
        Headers = {{"Endiverail-Outcome", "unknown"}};
      Fixture.transport().respond(Attempt->Id, 500, "", Headers);
      return;
    case 2:
      if (!ToPeer) {
        recordRun(*Attempt);
        Fixture.transport().respond(Attempt->Id, 200, "answer to another",
                                    {{"Endiverail-Attempt", "x.1.1.1"}});
        return;
      }
      [[fallthrough]];
    default:
      recordRun(*Attempt);
      if (ToPeer)
        Headers = {{"Endiverail-Outcome", "done"}};
      Fixture.transport().respond(Attempt->Id, 200, Body, Headers);
    }
  }

  void failOne() {
    auto Attempt = anyAttempt();
    if (!Attempt)
      return;
    using enum error_kind;
    switch (pick(4)) {
    case 0:
      Fixture.transport().fail(Attempt->Id, BackendUnreachable, true);
      return;
    case 1:
      // The request may or may not have run.
      if (pick(2) == 0)
        recordRun(*Attempt);
      Fixture.transport().fail(Attempt->Id, BackendCut);
      return;
    case 2:
      if (pick(2) == 0)
        recordRun(*Attempt);
      Fixture.transport().fail(Attempt->Id, BackendTimeout);
      return;
    default:
      recordRun(*Attempt);
      if (Fixture.transport().head(Attempt->Id, 200, 1'000))
        Fixture.transport().Receiver.onBodyData(Attempt->Id, "answer");
      if (Fixture.attempts().contains(Attempt->Id))
        Fixture.transport().fail(Attempt->Id, BackendCut);
    }
  }

  void changeVersion() {
    Fixture.publish(pick(3) == 0 ? "other" : "self", 1 + pick(4));
  }

  void disconnectCaller() {
    if (Callers.empty())
      return;
    auto Chosen = std::next(Callers.begin(),
                            static_cast<std::ptrdiff_t>(pick(Callers.size())));
    if (Fixture.response(Chosen->first).Ended || Chosen->second.Gone)
      return;
    Chosen->second.Gone = true;
    Fixture.deliver(caller_gone{{0, Chosen->first, 1}});
  }

  /// Whether the attempt goes to the holder of its key, which runs the request
  /// at most once.
  static bool toHolder(const started_attempt &Attempt) {
    return !findHeader(Attempt.Headers, "Endiverail-Key").empty();
  }

  void recordRun(const started_attempt &Attempt) {
    if (Attempt.Method != "POST")
      return;
    std::size_t &Count = Runs[Attempt.Target];
    if (Count == 0 || !toHolder(Attempt))
      ++Count;
  }

  void check() {
    for (const auto &[Target, Count] : Runs)
      RC_ASSERT(Count <= 1);
    std::map<std::string, std::size_t> PerServer;
    for (const auto &[Id, Attempt] : Fixture.attempts())
      ++PerServer[Attempt.Server];
    for (const auto &[Server, Count] : PerServer)
      RC_ASSERT(Server == "other:1" || Count <= 6);
    for (const auto &[Id, Attempt] : Fixture.attempts()) {
      auto Request =
          std::ranges::find(Keyed, Attempt.Target, &keyed_request::Target);
      // A request whose key this process does not hold may only be forwarded,
      // with its key, to the other proxy.
      if (Request != Keyed.end() && !holdsKeyOf(*Request)) {
        RC_ASSERT(Attempt.Server == "other:1");
        RC_ASSERT(findHeader(Attempt.Headers, "Endiverail-Key") ==
                  keyOf(*Request));
      }
    }
    for (auto &[Caller, Sent] : Callers) {
      const collected_response &Response = Fixture.response(Caller);
      if (!Response.Ended)
        continue;
      // Check the outcome only when it is reported: the same key may run later.
      if (!std::exchange(Sent.OutcomeChecked, true) && Sent.Write &&
          Response.Head->Outcome == outcome::NotRun)
        RC_ASSERT(!Runs.contains(Sent.Target));
      if (Response.Head->Outcome == outcome::Done &&
          Response.Head->Status == 200)
        RC_ASSERT(Response.Body == "answer to " + Sent.Target);
    }
  }

  traffic_fixture Fixture;
  std::mt19937_64 Random;
  std::map<std::uint64_t, sent_request> Callers;
  std::map<std::string, std::size_t> Runs;
  std::vector<keyed_request> Keyed;
  std::uint64_t LastRequest = 0;
};

} // namespace

TEST_CASE("writes run at most once and outcomes are correct") {
  REQUIRE(rc::check([](std::uint64_t Seed) {
    traffic_model Model(Seed);
    for (int Step = 0; Step < 300; ++Step)
      Model.step();
    Model.finish();
  }));
}

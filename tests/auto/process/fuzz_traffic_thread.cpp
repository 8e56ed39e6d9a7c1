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

/// The truth beside the traffic thread: what ran how often, and what each
/// caller was told.
class traffic_world {
public:
  explicit traffic_world(std::uint64_t Seed) : Random(Seed) {}

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
      answerOne();
      break;
    case 7:
      failOne();
      break;
    case 8:
      Fixture.pass(milliseconds(10 * pick(30)));
      break;
    case 9:
      changeVersion();
      break;
    case 10:
      inherit();
      break;
    default:
      leave();
      break;
    }
    check();
  }

  /// Lets all that runs end, then each request must be answered.
  void finish() {
    // Attempts may still begin after a pause: for a key whose holder was not
    // known, say.
    for (int Quiet = 0; Quiet < 10; ++Quiet) {
      if (!Fixture.attempts().empty())
        Quiet = 0;
      answerOne();
      check();
      Fixture.pass(100ms);
      check();
    }
    Fixture.pass(3000ms);
    check();
    for (const auto &[Caller, Sent] : Callers)
      RC_ASSERT(Sent.Gone || Fixture.answer(Caller).Ended ||
                Fixture.answer(Caller).Broken);
  }

private:
  struct sent_request {
    std::string Work;
    bool Write = false;
    bool Gone = false;
    bool Judged = false;
  };
  struct keyed_work {
    std::string Work;
    proxy_incarnation Issuer;
  };

  static inline const proxy_incarnation Self{"self", 7};
  static inline const proxy_incarnation Other{"other", 8};
  /// Ends at some time and hands its keys to this process or to the other.
  static inline const proxy_incarnation Ended{"ended", 3};

  std::size_t pick(std::size_t Count) { return Random() % Count; }

  void sendNew() {
    bool Write = pick(2) == 0;
    std::string Work = "/s/" + std::to_string(++LastWork);
    std::string Key;
    if (Write && pick(2) == 0) {
      const proxy_incarnation Issuers[]{Self, Self, Other, Ended};
      Keyed.push_back({Work, Issuers[pick(4)]});
      Key = keyOf(Keyed.back());
    }
    send(Work, Write, Key);
  }

  void resend() {
    if (Keyed.empty())
      return;
    const keyed_work &Chosen = Keyed[pick(Keyed.size())];
    send(Chosen.Work, true, keyOf(Chosen));
  }

  static std::string keyOf(const keyed_work &Keyed) {
    return traffic_fixture::key(Keyed.Issuer.ProxyId, Keyed.Issuer.Incarnation,
                                Keyed.Work.substr(3));
  }

  /// The proxy that has issued some of the keys ends, once. Until then it has
  /// run some of the work.
  void inherit() {
    if (!Fixture.Heirs.empty() || pick(4) != 0)
      return;
    bool ToSelf = pick(2) == 0;
    inherited_keys Inherited{"s", {}};
    for (const keyed_work &Each : Keyed)
      if (Each.Issuer == Ended && pick(2) == 0) {
        ++Runs[Each.Work];
        Inherited.Keys.push_back(
            {"s/" + keyOf(Each), Ended, {{}, "answer to " + Each.Work}});
      }
    if (ToSelf)
      Fixture.tell(std::move(Inherited));
    Fixture.Heirs = {{Ended, ToSelf ? Self : Other, 1}};
    changeVersion();
  }

  /// Whether this process may run a work that has a key.
  bool holdsKeyOf(const keyed_work &Work) const {
    return Work.Issuer == Self ||
           (Work.Issuer == Ended && !Fixture.Heirs.empty() &&
            Fixture.Heirs[0].Successor == Self);
  }

  void send(const std::string &Work, bool Write, const std::string &Key) {
    auto Caller = Fixture.send(Write ? "POST" : "GET", Work, Key);
    Callers[Caller] = {Work, Write, false};
  }

  std::optional<started_attempt> anyAttempt() {
    auto &Attempts = Fixture.attempts();
    if (Attempts.empty())
      return std::nullopt;
    return std::next(Attempts.begin(),
                     static_cast<std::ptrdiff_t>(pick(Attempts.size())))
        ->second;
  }

  void answerOne() {
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
      // Shed: not run.
      if (ToPeer)
        Headers = {{"Endiverail-Outcome",
                    toHolder(*Attempt) && Runs.contains(Attempt->Target)
                        ? "unknown"
                        : "not-run"}};
      else
        Headers.push_back({"Endiverail-Not-Run", "true"});
      Fixture.transport().answer(Attempt->Id, 503, "", Headers);
      return;
    case 1:
      ran(*Attempt);
      if (ToPeer)
        Headers = {{"Endiverail-Outcome", "unknown"}};
      Fixture.transport().answer(Attempt->Id, 500, "", Headers);
      return;
    case 2:
      if (!ToPeer) {
        ran(*Attempt);
        Fixture.transport().answer(Attempt->Id, 200, "answer to another",
                                   {{"Endiverail-Attempt", "x.1.1.1"}});
        return;
      }
      [[fallthrough]];
    default:
      ran(*Attempt);
      if (ToPeer)
        Headers = {{"Endiverail-Outcome", "done"}};
      Fixture.transport().answer(Attempt->Id, 200, Body, Headers);
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
      // Whether it ran, nobody can tell.
      if (pick(2) == 0)
        ran(*Attempt);
      Fixture.transport().fail(Attempt->Id, BackendCut);
      return;
    case 2:
      if (pick(2) == 0)
        ran(*Attempt);
      Fixture.transport().fail(Attempt->Id, BackendTimeout);
      return;
    default:
      ran(*Attempt);
      if (Fixture.transport().head(Attempt->Id, 200, 1'000))
        Fixture.transport().To.onBodyData(Attempt->Id, "answer");
      if (Fixture.attempts().contains(Attempt->Id))
        Fixture.transport().fail(Attempt->Id, BackendCut);
    }
  }

  void changeVersion() {
    Fixture.publish(pick(3) == 0 ? "other" : "self", 1 + pick(4));
  }

  void leave() {
    if (Callers.empty())
      return;
    auto Chosen = std::next(Callers.begin(),
                            static_cast<std::ptrdiff_t>(pick(Callers.size())));
    if (Fixture.answer(Chosen->first).Ended || Chosen->second.Gone)
      return;
    Chosen->second.Gone = true;
    Fixture.tell(caller_gone{{0, Chosen->first, 1}});
  }

  /// Whether the attempt leaves the decision to the holder of its key, who
  /// runs it once.
  static bool toHolder(const started_attempt &Attempt) {
    return !findHeader(Attempt.Headers, "Endiverail-Key").empty();
  }

  void ran(const started_attempt &Attempt) {
    if (Attempt.Method != "POST")
      return;
    std::size_t &Count = Runs[Attempt.Target];
    if (Count == 0 || !toHolder(Attempt))
      ++Count;
  }

  void check() {
    for (const auto &[Work, Count] : Runs)
      RC_ASSERT(Count <= 1);
    std::map<std::string, std::size_t> PerServer;
    for (const auto &[Id, Attempt] : Fixture.attempts())
      ++PerServer[Attempt.Server];
    for (const auto &[Server, Count] : PerServer)
      RC_ASSERT(Server == "other:1" || Count <= 6);
    for (const auto &[Id, Attempt] : Fixture.attempts()) {
      auto Work = std::ranges::find(Keyed, Attempt.Target, &keyed_work::Work);
      // Another proxy's key goes to that proxy, with the key, or nowhere.
      if (Work != Keyed.end() && !holdsKeyOf(*Work)) {
        RC_ASSERT(Attempt.Server == "other:1");
        RC_ASSERT(findHeader(Attempt.Headers, "Endiverail-Key") ==
                  keyOf(*Work));
      }
    }
    for (auto &[Caller, Sent] : Callers) {
      const collected_answer &Answer = Fixture.answer(Caller);
      if (!Answer.Ended)
        continue;
      // A later sending of a key may run, so it counts when it is told.
      if (!std::exchange(Sent.Judged, true) && Sent.Write &&
          Answer.Head->Outcome == outcome::NotRun)
        RC_ASSERT(!Runs.contains(Sent.Work));
      if (Answer.Head->Outcome == outcome::Done && Answer.Head->Status == 200)
        RC_ASSERT(Answer.Body == "answer to " + Sent.Work);
    }
  }

  traffic_fixture Fixture;
  std::mt19937_64 Random;
  std::map<std::uint64_t, sent_request> Callers;
  std::map<std::string, std::size_t> Runs;
  std::vector<keyed_work> Keyed;
  std::uint64_t LastWork = 0;
};

} // namespace

TEST_CASE("whatever happens, writes run once and answers are true") {
  REQUIRE(rc::check([](std::uint64_t Seed) {
    traffic_world World(Seed);
    for (int Step = 0; Step < 300; ++Step)
      World.step();
    World.finish();
  }));
}

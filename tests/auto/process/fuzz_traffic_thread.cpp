#include "traffic_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <set>

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
    switch (pick(11)) {
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
    default:
      leave();
      break;
    }
    check();
  }

  /// Lets all that runs end, then each request must be answered.
  void finish() {
    for (int Round = 0; Round < 300 && !Fixture.attempts().empty(); ++Round) {
      answerOne();
      Fixture.pass(100ms);
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
  };

  std::size_t pick(std::size_t Count) { return Random() % Count; }

  void sendNew() {
    bool Write = pick(2) == 0;
    std::string Work = "/s/" + std::to_string(++LastWork);
    std::string Key;
    if (Write && pick(2) == 0) {
      Key = traffic_fixture::key("self", 7, std::to_string(LastWork));
      Keyed.push_back(Work);
    }
    send(Work, Write, Key);
  }

  void resend() {
    if (Keyed.empty())
      return;
    std::string Work = Keyed[pick(Keyed.size())];
    send(Work, true, traffic_fixture::key("self", 7, Work.substr(3)));
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
        Headers = {{"Endiverail-Outcome", "not-run"}};
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
        Fixture.transport().To.onPiece(Attempt->Id, "answer");
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

  void ran(const started_attempt &Attempt) {
    if (Attempt.Method == "POST")
      ++Runs[Attempt.Target];
  }

  void check() {
    for (const auto &[Work, Count] : Runs)
      RC_ASSERT(Count <= 1);
    std::map<std::string, std::size_t> PerServer;
    for (const auto &[Id, Attempt] : Fixture.attempts())
      ++PerServer[Attempt.Server];
    for (const auto &[Server, Count] : PerServer)
      RC_ASSERT(Server == "other:1" || Count <= 6);
    for (const auto &[Caller, Sent] : Callers) {
      const collected_answer &Answer = Fixture.answer(Caller);
      if (!Answer.Ended)
        continue;
      // The key may run on a later sending, so only its first answer binds.
      bool Resendable = std::ranges::find(Keyed, Sent.Work) != Keyed.end();
      if (Answer.Head->Outcome == outcome::NotRun && Sent.Write && !Resendable)
        RC_ASSERT(!Runs.contains(Sent.Work));
      if (Answer.Head->Outcome == outcome::Done && Answer.Head->Status == 200)
        RC_ASSERT(Answer.Body == "answer to " + Sent.Work);
    }
  }

  traffic_fixture Fixture;
  std::mt19937_64 Random;
  std::map<std::uint64_t, sent_request> Callers;
  std::map<std::string, std::size_t> Runs;
  std::vector<std::string> Keyed;
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

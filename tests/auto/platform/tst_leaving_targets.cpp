#include "platform_fixture.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <ranges>
#include <thread>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

/// The requests of many callers at once, and which target got them.
class request_record {
public:
  void onSent(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    Sent[Id] = std::chrono::steady_clock::now();
  }
  void onArrived(const std::string &Id, bool AtLeaving) {
    std::lock_guard Lock(Mutex);
    (AtLeaving ? AtLeavingTarget : AtOtherTarget).push_back(Id);
  }
  void onAnswer(const std::string &Answer) {
    std::lock_guard Lock(Mutex);
    if (!PassedOn && Answer.find("Server-Leaving: 1") != std::string::npos)
      PassedOn = std::chrono::steady_clock::now();
  }

  bool passedOn() const {
    std::lock_guard Lock(Mutex);
    return PassedOn.has_value();
  }
  /// Number of requests sent later than \p Delay after the first leaving answer
  /// had reached its caller, by the target that got them.
  std::size_t sentLater(bool ToLeaving, milliseconds Delay) const {
    std::lock_guard Lock(Mutex);
    return static_cast<std::size_t>(
        std::ranges::count_if(ToLeaving ? AtLeavingTarget : AtOtherTarget,
                              [&](const std::string &Id) {
                                return Sent.at(Id) > *PassedOn + Delay;
                              }));
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::chrono::steady_clock::time_point> Sent;
  std::vector<std::string> AtLeavingTarget;
  std::vector<std::string> AtOtherTarget;
  std::optional<std::chrono::steady_clock::time_point> PassedOn;
};

/// Answers with every kind of status, each of which says that the target is
/// leaving.
void answerLeaving(raw_connection &Caller, const std::string &Id,
                   std::size_t Count) {
  constexpr std::string_view Leaving = "Server-Leaving: 1\r\n";
  const std::vector<std::string> Heads{
      target_standin::signedHead(Id, "200 OK"),
      target_standin::signedHead(Id, "500 Internal Server Error"),
      target_standin::signedHead(Id, "404 Not Found"),
      "HTTP/1.1 503 Service Unavailable\r\nEndiverail-Attempt-Identifier: " +
          Id + "\r\nEndiverail-Request-Not-Executed: 1\r\n"};
  Caller.send(Heads[Count % Heads.size()] + std::string(Leaving) +
              "Content-Length: 0\r\n\r\n");
}

} // namespace

TEST_CASE("no request goes to a target after its word that it is leaving has "
          "been passed on, though the store still says that it is ready") {
  constexpr std::size_t CallerCount = 24;
  const int WorkMilliseconds = GENERATE(15, 60);
  const std::string &Configuration =
      GENERATE_REF(OrdersConfiguration, LookupsConfiguration);
  request_record Requests;
  std::atomic<bool> Leaving = false;
  std::atomic<std::size_t> LeavingAnswers = 0;
  auto Work = [&](raw_connection &Caller, const target_request &Request) {
    poll(nullptr, 0, WorkMilliseconds);
    Caller.send(target_standin::wholeAnswer(Request.Id));
  };
  platform_fixture Fixture(
      [&](raw_connection &Caller, const target_request &Request) {
        Requests.onArrived(Request.Id, true);
        if (!Leaving)
          return Work(Caller, Request);
        poll(nullptr, 0, WorkMilliseconds);
        answerLeaving(Caller, Request.Id, LeavingAnswers++);
      },
      [&](raw_connection &Caller, const target_request &Request) {
        Requests.onArrived(Request.Id, false);
        Work(Caller, Request);
      },
      Configuration);
  const std::string &Host = Fixture.First;
  auto Daemon = Fixture.start(Host, Fixture.Store->endpoint(), Host);
  REQUIRE(Fixture.eventually([&] { return Fixture.isReady(Host); }));

  std::atomic<bool> Ending = false;
  std::vector<std::thread> Callers;
  for (std::size_t Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&, Caller] {
      for (std::size_t Count = 0; !Ending; ++Count) {
        std::string Id = std::to_string(Caller) + "-" + std::to_string(Count);
        Requests.onSent(Id);
        Requests.onAnswer(Fixture.order(Host, "/orders/1", 2'000, Id));
      }
    });
  std::this_thread::sleep_for(500ms);
  Leaving = true;
  bool PassedOn = Fixture.eventually([&] { return Requests.passedOn(); });
  std::this_thread::sleep_for(3s);
  Ending = true;
  std::ranges::for_each(Callers, &std::thread::join);

  REQUIRE(PassedOn);
  CHECK(Requests.sentLater(true, 2s) == 0);
  CHECK(Requests.sentLater(true, 0s) == 0);
  CHECK(Requests.sentLater(false, 2s) > CallerCount);
}

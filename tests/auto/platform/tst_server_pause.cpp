#include "platform_fixture.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <ranges>
#include <thread>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

using test_clock = std::chrono::steady_clock;

constexpr milliseconds WorkTime = 60ms;

void answerAfterWork(raw_connection &Caller, const target_request &Request) {
  std::this_thread::sleep_for(WorkTime);
  Caller.send(target_standin::wholeAnswer(Request.Id));
}

/// A target that refuses its first request and asks for a pause.
class pausing_target {
public:
  explicit pausing_target(std::string RetryAfter)
      : RetryAfter(std::move(RetryAfter)) {}

  void operator()(raw_connection &Caller, const target_request &Request) {
    bool Refuses = false;
    {
      std::lock_guard Lock(Mutex);
      Arrivals.push_back(test_clock::now());
      Refuses = Arrivals.size() == 1;
    }
    std::this_thread::sleep_for(WorkTime);
    if (!Refuses) {
      Caller.send(target_standin::wholeAnswer(Request.Id));
      return;
    }
    {
      std::lock_guard Lock(Mutex);
      RefusedAt = test_clock::now();
    }
    Caller.send("HTTP/1.1 503 Service Unavailable\r\n"
                "Endiverail-Attempt-Identifier: " +
                Request.Id +
                "\r\nEndiverail-Request-Not-Executed: 1\r\nRetry-After: " +
                RetryAfter + "\r\nContent-Length: 0\r\n\r\n");
  }

  std::optional<test_clock::time_point> refusedAt() const {
    std::lock_guard Lock(Mutex);
    return RefusedAt;
  }

  /// Requests that arrived between \p From and \p To after the refusal.
  std::size_t arrivals(milliseconds From, milliseconds To) const {
    std::lock_guard Lock(Mutex);
    return static_cast<std::size_t>(
        std::ranges::count_if(Arrivals, [&](test_clock::time_point Each) {
          return RefusedAt && Each > *RefusedAt + From &&
                 Each < *RefusedAt + To;
        }));
  }

private:
  std::string RetryAfter;
  mutable std::mutex Mutex;
  std::vector<test_clock::time_point> Arrivals;
  std::optional<test_clock::time_point> RefusedAt;
};

double retryAfterOf(const std::string &Answer) {
  constexpr std::string_view Name = "Retry-After: ";
  std::size_t At = Answer.find(Name);
  return At == std::string::npos ? -1
                                 : std::stod(Answer.substr(At + Name.size()));
}

bool isServed(const std::string &Answer) {
  return Answer.starts_with("HTTP/1.1 200") &&
         Answer.find("Response-Signature") != std::string::npos;
}

} // namespace

TEST_CASE("a target that asked for a pause gets no requests under load") {
  pausing_target Pausing("1.5");
  platform_fixture Fixture(std::ref(Pausing), answerAfterWork,
                           LookupsConfiguration);
  const std::string &Host = Fixture.First;
  auto Daemon = Fixture.start(Host, Fixture.Store->endpoint(), Host);
  REQUIRE(Fixture.eventually([&] { return Fixture.isReady(Host); }));
  std::atomic<std::size_t> Sent = 0;
  std::atomic<std::size_t> Served = 0;
  auto End = test_clock::now() + 4s;
  auto Press = [&](std::size_t Caller) {
    for (std::size_t Count = 0; test_clock::now() < End; ++Count) {
      ++Sent;
      std::string Id = std::to_string(Caller) + "-" + std::to_string(Count);
      Served += isServed(Fixture.order(Host, "/orders/1", 2'000, Id)) ? 1 : 0;
    }
  };
  {
    std::vector<std::jthread> Callers;
    for (std::size_t Caller = 0; Caller < 12; ++Caller)
      Callers.emplace_back(Press, Caller);
  }
  REQUIRE(Pausing.refusedAt());
  CHECK(Sent > 200);
  CHECK(Served == Sent);
  CHECK(Pausing.arrivals(500ms, 1'500ms) <= 2);
  // It is used again afterwards.
  CHECK(Pausing.arrivals(1'500ms, 4s) > 10);
}

TEST_CASE("requests are refused at once, with the time at which they can be "
          "served, while all targets pause") {
  pausing_target First("3");
  pausing_target Other("3.5");
  platform_fixture Fixture(std::ref(First), std::ref(Other),
                           LookupsConfiguration);
  const std::string &Host = Fixture.First;
  auto Daemon = Fixture.start(Host, Fixture.Store->endpoint(), Host);
  REQUIRE(Fixture.eventually([&] { return Fixture.isReady(Host); }));
  REQUIRE(Fixture.eventually([&] {
    Fixture.order(Host, "/orders/1", 2'000, "first");
    return First.refusedAt() && Other.refusedAt();
  }));
  auto SecondsToEnd = [&] {
    return std::chrono::duration<double>(*First.refusedAt() + 3s -
                                         test_clock::now())
        .count();
  };
  std::this_thread::sleep_until(*Other.refusedAt() + 300ms);
  for (int Count = 0; Count < 10; ++Count) {
    auto Begin = test_clock::now();
    double Left = SecondsToEnd();
    std::string Answer = Fixture.order(Host, "/orders/1", 2'000,
                                       "early-" + std::to_string(Count));
    CHECK(Answer.starts_with("HTTP/1.1 503"));
    CHECK(test_clock::now() - Begin < 300ms);
    CHECK(retryAfterOf(Answer) > Left - 0.2);
    CHECK(retryAfterOf(Answer) < Left + 2);
  }
  // What can still be served in time waits for the end of the pause.
  std::this_thread::sleep_until(*First.refusedAt() + 2'500ms);
  CHECK(isServed(Fixture.order(Host, "/orders/1", 2'000, "late")));
  CHECK(SecondsToEnd() < 0);
  CHECK(SecondsToEnd() > -0.4);
  CHECK(First.arrivals(500ms, 3s) + Other.arrivals(500ms, 3s) == 0);
}

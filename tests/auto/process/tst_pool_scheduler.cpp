#include "process/pool_scheduler.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct pool_fixture {
  explicit pool_fixture(std::size_t Count = 4, std::uint64_t Seed = 7)
      : Scheduler(definition(), Seed) {
    configure(Count);
  }

  void configure(std::size_t Count) {
    Servers.clear();
    for (std::size_t Index = 0; Index < Count; ++Index) {
      backend_server Server;
      Server.Address = std::string(1, static_cast<char>('a' + Index));
      Server.Pool = "s";
      Server.DataCentre = Index % 2 == 0 ? "near" : "far";
      Server.Instance = "i-" + Server.Address;
      Server.Slots = 6;
      Servers.push_back(Server);
    }
    Scheduler.configure(Definition, Servers, Now);
    Scheduler.setDataCentre("near");
    Scheduler.setRetryTerms({1, 10, 0, 1});
  }

  static service_definition definition() {
    service_definition Service;
    Service.Name = Service.Pool = "s";
    Service.QueueLimit = {1000, 1000, 1000};
    return Service;
  }

  waiting_request request(bool Idempotent = false) {
    waiting_request Request;
    Request.Id = ++LastId;
    Request.Idempotent = Idempotent;
    Request.Arrived = Now;
    Request.Target = 4s;
    Request.Deadline = Now + 5s;
    Request.UsualTime = 500ms;
    return Request;
  }

  /// Where the request starts; empty when it has to wait.
  std::string place(waiting_request Request) {
    Scheduler.submit(std::move(Request), Now);
    auto Assignment = Scheduler.next(Now);
    return Assignment ? Assignment->Server : "";
  }
  std::string place(bool Idempotent = false) {
    return place(request(Idempotent));
  }

  service_definition Definition = definition();
  pool_scheduler Scheduler;
  std::vector<backend_server> Servers;
  steady_time Now{1h};
  request_id LastId = 0;
};

/// Entries that share the trials of a pool of that size.
std::vector<std::unique_ptr<pool_fixture>> chooseEntries(std::size_t Servers,
                                                         std::size_t Entries) {
  std::vector<std::unique_ptr<pool_fixture>> Fleet;
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    Fleet.push_back(std::make_unique<pool_fixture>(Servers, Index));
    Fleet.back()->Scheduler.setTrialShare({Index, Entries});
  }
  return Fleet;
}

} // namespace

TEST_CASE_METHOD(pool_fixture, "work avoids a server from its first failure "
                               "anywhere") {
  Scheduler.observe("a", attempt_signal::Accepted, Now);
  Scheduler.observe("b", attempt_signal::Failed, Now);
  for (int Count = 0; Count < 30; ++Count)
    CHECK(place() != "b");
}

TEST_CASE_METHOD(pool_fixture, "an error after the usual work is not held "
                               "against a healthy server") {
  for (std::string Server : {"a", "b", "c", "d"})
    for (int Count = 0; Count < 3; ++Count)
      Scheduler.observe(Server, attempt_signal::Accepted, Now);
  Scheduler.observe("b", attempt_signal::Erred, Now);
  std::set<std::string> Used;
  for (int Count = 0; Count < 24; ++Count)
    Used.insert(place());
  CHECK(Used.contains("b"));
}

TEST_CASE_METHOD(pool_fixture,
                 "a failing server draws no overflow while others are full") {
  // The load: four servers with 24 slots, far more requests than these take,
  // and one server that answers each request at once with an error.
  for (int Count = 0; Count < 3; ++Count)
    Scheduler.observe("b", attempt_signal::Failed, Now);
  std::map<std::string, int> Placed;
  for (int Count = 0; Count < 200; ++Count)
    ++Placed[place()];
  CHECK(Placed["b"] == 0);
  CHECK(Placed[""] > 0);
  CHECK(Placed["a"] >= 6);
}

TEST_CASE_METHOD(pool_fixture, "one request finds out whether a server that "
                               "failed is well again") {
  Scheduler.observe("b", attempt_signal::Failed, Now);
  for (std::string Other : {"a", "c", "d"})
    Scheduler.setUsedElsewhere(Other, 60, Now);
  Now += 20s;
  CHECK(place() == "b");
  CHECK(place().empty());
  Scheduler.observe("b", attempt_signal::Accepted, Now);
  CHECK(Scheduler.next(Now));
}

TEST_CASE_METHOD(pool_fixture, "when all servers fail none is shut out") {
  for (std::string Server : {"a", "b", "c", "d"})
    Scheduler.observe(Server, attempt_signal::Failed, Now);
  std::set<std::string> Used;
  for (int Count = 0; Count < 60; ++Count)
    Used.insert(place());
  CHECK(Used.size() >= 4);
}

TEST_CASE_METHOD(pool_fixture, "slots that others use count") {
  Scheduler.setUsedElsewhere("a", 6, Now);
  Scheduler.setUsedElsewhere("b", 6, Now);
  Scheduler.setUsedElsewhere("c", 6, Now);
  for (int Count = 0; Count < 5; ++Count)
    CHECK(place() == "d");
}

TEST_CASE_METHOD(pool_fixture, "no server is given more than it answers "
                               "within the target time") {
  struct row {
    milliseconds Target;
    int MostWaiting;
  };
  // 6 slots at 500 ms: what waits behind them starts within 85% of the target
  // time less 1.6 usual times, which is 2.6 and 0.9 s.
  auto Row = GENERATE(row{4s, 6 * 6}, row{2s, 11});
  std::map<std::string, int> Placed;
  for (int Count = 0; Count < 400; ++Count, Now += 1ms) {
    waiting_request Request = request();
    Request.Target = Row.Target;
    ++Placed[place(Request)];
  }
  for (std::string Server : {"a", "b", "c", "d"}) {
    CHECK(Placed[Server] >= 6);
    CHECK(Placed[Server] <= 6 + Row.MostWaiting);
  }
}

TEST_CASE_METHOD(pool_fixture, "a request without room is refused once it "
                               "can't be answered in time") {
  for (std::string Server : {"a", "b", "c", "d"})
    Scheduler.setUsedElsewhere(Server, 100, Now);
  CHECK(place().empty());
  // 85% of the target of 4 s, less 1.6 times the usual 500 ms.
  CHECK(Scheduler.takeExpired(Now + 2'590ms).empty());
  CHECK(Scheduler.takeExpired(Now + 2'610ms).size() == 1);
}

TEST_CASE_METHOD(pool_fixture, "where nothing starts only a few are held, and "
                               "the others are refused at once") {
  for (std::string Server : {"a", "b", "c", "d"})
    Scheduler.setUsedElsewhere(Server, 100, Now);
  int Refused = 0;
  for (int Count = 0; Count < 100; ++Count)
    Refused += Scheduler.submit(request(), Now) ? 1 : 0;
  // At four starts a second, six tenths of 2.6 s.
  CHECK(Refused >= 100 - 8);
}

TEST_CASE_METHOD(pool_fixture, "refused callers are given different times to "
                               "come back, at the pace of the work") {
  for (int Count = 0; Count < 10; ++Count) {
    place();
    Now += 100ms;
  }
  std::vector<milliseconds> Pauses;
  for (int Count = 0; Count < 8; ++Count)
    Pauses.push_back(Scheduler.reservePause(Now));
  CHECK(std::ranges::is_sorted(Pauses));
  CHECK(Pauses.front() >= 200ms);
  CHECK(Pauses.back() > Pauses.front() + 400ms);
  for (int Count = 0; Count < 100; ++Count)
    CHECK(Scheduler.reservePause(Now) <= 1'600ms);
}

TEST_CASE_METHOD(pool_fixture, "a server that refuses work with room left is "
                               "not taken for full") {
  place();
  for (int Count = 0; Count < 5; ++Count)
    for (std::string Server : {"a", "b", "c", "d"})
      Scheduler.observe(Server, attempt_signal::Shed, Now);
  for (int Count = 0; Count < 20; ++Count)
    CHECK_FALSE(place().empty());
}

TEST_CASE_METHOD(pool_fixture, "a full server gets no more for a while") {
  for (std::string Server : {"a", "b", "c", "d"}) {
    Scheduler.setUsedElsewhere(Server, 10, Now);
    Scheduler.observe(Server, attempt_signal::Shed, Now);
  }
  CHECK(place().empty());
  Now += 301ms;
  CHECK(Scheduler.next(Now));
}

TEST_CASE_METHOD(pool_fixture, "bulk work stays in its data centre while "
                               "there is room") {
  for (int Count = 0; Count < 8; ++Count) {
    waiting_request Request = request(true);
    Request.Bulk = true;
    std::string Server = place(Request);
    CHECK((Server == "a" || Server == "c"));
  }
}

TEST_CASE_METHOD(pool_fixture, "a retry goes to another server") {
  waiting_request Request = request(true);
  Request.Avoid = {"a", "b", "c"};
  CHECK(place(Request) == "d");
}

TEST_CASE("few servers are left without work, the least doubtful first") {
  // The load: a pool of ten of which three are sick, at a rate that four
  // servers could carry. The users count the servers that get nothing for two
  // seconds while many requests fail.
  pool_fixture Pool(10);
  std::map<std::string, steady_time> LastUsed;
  std::map<std::string, int> Failed;
  const std::set<std::string> Sick{"h", "i", "j"};
  steady_time End = Pool.Now + 10s;
  for (; Pool.Now < End; Pool.Now += 25ms) {
    std::string Server = Pool.place();
    REQUIRE_FALSE(Server.empty());
    LastUsed[Server] = Pool.Now;
    Failed[Server] += Sick.contains(Server) ? 1 : 0;
    Pool.Scheduler.observe(Server,
                           Sick.contains(Server) ? attempt_signal::Failed
                                                 : attempt_signal::Accepted,
                           Pool.Now);
    Pool.Scheduler.release(Server, rank::Urgent, Pool.Now);
    auto Idle = std::ranges::count_if(LastUsed, [&](const auto &Entry) {
      return Pool.Now > Entry.second + 2s;
    });
    CHECK(Idle <= 2);
  }
  CHECK(LastUsed.size() == 10);
  // Of three sick servers one has to be tried about every two seconds.
  CHECK(Failed["h"] + Failed["i"] + Failed["j"] <= 12);
}

TEST_CASE("a large pool risks few requests on servers that fail") {
  // The load: 120 servers of which 36 are in a spell of failures that outlasts
  // the test, and requests that may not be repeated.
  pool_fixture Pool(120);
  auto IsSick = [](const std::string &Server) {
    return static_cast<unsigned char>(Server[0]) % 10 < 3;
  };
  std::map<std::string, steady_time> LastUsed;
  int Failed = 0;
  int LeastUsed = 120;
  const steady_time Warm = Pool.Now + 4s;
  const steady_time End = Warm + 8s;
  for (; Pool.Now < End; Pool.Now += 4ms) {
    std::string Server = Pool.place();
    REQUIRE_FALSE(Server.empty());
    LastUsed[Server] = Pool.Now;
    Failed += Pool.Now >= Warm && IsSick(Server) ? 1 : 0;
    Pool.Scheduler.observe(Server,
                           IsSick(Server) ? attempt_signal::Failed
                                          : attempt_signal::Accepted,
                           Pool.Now);
    Pool.Scheduler.release(Server, rank::Urgent, Pool.Now);
    if (Pool.Now >= Warm)
      LeastUsed =
          std::min(LeastUsed, static_cast<int>(std::ranges::count_if(
                                  LastUsed, [&](const auto &Entry) {
                                    return Pool.Now <= Entry.second + 2s;
                                  })));
  }
  // The users want seven tenths of the servers in use in any two seconds.
  CHECK(LeastUsed >= 84);
  // With a fifth of the healthy servers idle, as in small pools, r trials a
  // second leave 36 - 1.8 r sick servers idle of 120 - 2 r healthy ones: r
  // is 8.6.
  CHECK(Failed < 8 * 8.6);
}

TEST_CASE("entries that know the same do not try the same server") {
  // The load: twelve entries that get a request each 50 ms, all at the same
  // moments, and a pool of forty of which twelve fail at once what the others
  // work on for 500 ms. Each entry hears within 50 ms what the others saw.
  constexpr std::size_t Entries = 12;
  auto Fleet = chooseEntries(40, Entries);
  auto IsSick = [](const std::string &Server) {
    return static_cast<unsigned char>(Server[0]) % 10 < 3;
  };
  const steady_time Begin = Fleet.front()->Now;
  std::multimap<steady_time, std::pair<pool_fixture *, std::string>> Running;
  int Failed = 0;
  int MostAtOnce = 0;
  for (steady_time Now = Begin; Now < Begin + 10s; Now += 50ms) {
    for (; !Running.empty() && Running.begin()->first <= Now;
         Running.erase(Running.begin())) {
      auto &[Entry, Server] = Running.begin()->second;
      Entry->Scheduler.release(Server, rank::Urgent, Now);
    }
    std::map<std::string, int> Used;
    for (auto &Entry : Fleet) {
      Entry->Now = Now;
      std::string Server = Entry->place();
      REQUIRE_FALSE(Server.empty());
      ++Used[Server];
      Running.emplace(Now + (IsSick(Server) ? 5ms : 500ms),
                      std::pair(Entry.get(), Server));
    }
    for (const auto &[Server, Count] : Used) {
      for (auto &Entry : Fleet)
        Entry->Scheduler.observe(Server,
                                 IsSick(Server) ? attempt_signal::Failed
                                                : attempt_signal::Accepted,
                                 Now);
      if (!IsSick(Server))
        continue;
      Failed += Count;
      // Nothing is known in the first moment.
      if (Now > Begin)
        MostAtOnce = std::max(MostAtOnce, Count);
    }
  }
  // Four of twelve sick servers have to be tried each 1.8 s, so that no more
  // than eight are idle; the first failures come on top.
  CHECK(Failed <= 2 * 12 + 4 * 6);
  CHECK(MostAtOnce <= 2);
}

TEST_CASE("a small pool is kept in use by entries that see little of it") {
  // The load: sixteen entries with five requests a second each, one after the
  // other, and a pool of twenty of which six fail at once; each entry hears
  // 20 ms later what the others saw.
  constexpr std::size_t Entries = 16;
  auto Fleet = chooseEntries(20, Entries);
  auto IsSick = [](const std::string &Server) { return Server[0] % 10 < 3; };
  std::map<std::string, steady_time> Reached;
  std::multimap<steady_time, std::function<void()>> Later;
  const steady_time Begin = Fleet.front()->Now;
  std::size_t Turn = 0;
  for (steady_time Now = Begin; Now < Begin + 20s; Now += 12'500us) {
    for (; !Later.empty() && Later.begin()->first <= Now;
         Later.erase(Later.begin()))
      Later.begin()->second();
    pool_fixture &Entry = *Fleet[Turn++ % Entries];
    Entry.Now = Now;
    std::string Server = Entry.place();
    REQUIRE_FALSE(Server.empty());
    Reached[Server] = Now;
    bool Sick = IsSick(Server);
    Later.emplace(Now + 20ms, [&Fleet, Server, Sick, Now] {
      for (auto &Each : Fleet)
        Each->Scheduler.observe(
            Server, Sick ? attempt_signal::Failed : attempt_signal::Accepted,
            Now + 20ms);
    });
    Later.emplace(Now + (Sick ? 20ms : 500ms), [&Entry, Server, Now] {
      Entry.Scheduler.release(Server, rank::Urgent, Now + 500ms);
    });
    if (Now < Begin + 4s)
      continue;
    // As the users count: servers that no request reaches in two seconds.
    auto Idle = 20 - std::ranges::count_if(Reached, [&](const auto &Each) {
                  return Now <= Each.second + 2s;
                });
    // A fifth of twenty. The users want no more than three tenths, of those
    // that they take for healthy.
    CHECK(Idle <= 4);
  }
}

TEST_CASE("a pool that fails many requests leaves hardly a server idle") {
  // The load: a pool of twenty, 80 requests a second that may not be repeated,
  // six servers in a spell of failures, and others that fail part of their
  // work. The users want seven tenths in use of those servers that they take
  // for healthy, which may be a few of the twenty, while a tenth of the
  // requests is not served; otherwise trials would only cost requests.
  struct row {
    std::string What;
    int FailedOfHundred;
    std::ptrdiff_t MostIdle;
    int MostTrials;
  };
  // Servers that have failed lately are not counted, so a fifth of about
  // fourteen may be idle on a calm day: four of six are tried each 1.7 s, which
  // makes 24 trials in 10 s. Under strain it is all of them, 36.
  auto Row = GENERATE(row{"a calm day", 2, 4, 24}, row{"strain", 15, 1, 36});
  INFO(Row.What);
  pool_fixture Pool(20);
  auto IsSick = [](const std::string &Server) { return Server[0] % 10 < 3; };
  std::map<std::string, steady_time> Reached;
  const steady_time Begin = Pool.Now;
  int Trials = 0;
  std::ptrdiff_t MostIdle = 0;
  for (int Count = 0; Pool.Now < Begin + 14s; ++Count, Pool.Now += 12'500us) {
    std::string Server = Pool.place();
    REQUIRE_FALSE(Server.empty());
    Reached[Server] = Pool.Now;
    bool Sick = IsSick(Server);
    bool Errs = !Sick && Count * 37 % 100 < Row.FailedOfHundred;
    Pool.Scheduler.observe(
        Server, Sick ? attempt_signal::Failed : attempt_signal::Accepted,
        Pool.Now);
    if (Errs)
      Pool.Scheduler.observe(Server, attempt_signal::Erred, Pool.Now);
    Pool.Scheduler.release(Server, rank::Urgent, Pool.Now);
    if (Pool.Now < Begin + 4s)
      continue;
    Trials += Sick ? 1 : 0;
    MostIdle = std::max(
        MostIdle, 20 - std::ranges::count_if(Reached, [&](const auto &Each) {
                    return Pool.Now <= Each.second + 2s;
                  }));
  }
  CHECK(MostIdle <= Row.MostIdle);
  CHECK(Trials <= Row.MostTrials);
}

TEST_CASE("requests that may be repeated try the doubtful servers") {
  // The load: as above on a calm day, with reads: a failed trial costs them
  // the time of another attempt, so that hardly a server need be idle.
  pool_fixture Pool(20);
  auto IsSick = [](const std::string &Server) { return Server[0] % 10 < 3; };
  std::map<std::string, steady_time> Reached;
  const steady_time Begin = Pool.Now;
  std::ptrdiff_t MostIdle = 0;
  for (; Pool.Now < Begin + 14s; Pool.Now += 12'500us) {
    Pool.Scheduler.setRetryTerms({1, 10, 0, 1});
    std::string Server = Pool.place(true);
    REQUIRE_FALSE(Server.empty());
    Reached[Server] = Pool.Now;
    Pool.Scheduler.observe(Server,
                           IsSick(Server) ? attempt_signal::Failed
                                          : attempt_signal::Accepted,
                           Pool.Now);
    Pool.Scheduler.release(Server, rank::Urgent, Pool.Now);
    if (Pool.Now > Begin + 4s)
      MostIdle = std::max(
          MostIdle, 20 - std::ranges::count_if(Reached, [&](const auto &Each) {
                      return Pool.Now <= Each.second + 2s;
                    }));
  }
  CHECK(MostIdle <= 1);
}

TEST_CASE_METHOD(pool_fixture, "an idle server is tried by others when the "
                               "entry whose turn it is does not") {
  // This process is none of the entries, and none of four may be idle.
  Scheduler.setTrialShare({12, 12});
  for (std::string Server : {"a", "b", "c", "d"})
    Scheduler.observe(Server, attempt_signal::Accepted, Now);
  Now += 1'700ms;
  for (std::string Server : {"b", "c", "d"})
    for (int Count = 0; Count < 3; ++Count)
      Scheduler.observe(Server, attempt_signal::Accepted, Now);
  std::optional<steady_time> Tried;
  for (int Step = 0; Step < 20 && !Tried; ++Step, Now += 25ms) {
    std::string Server = place();
    if (Server == "a")
      Tried = Now;
    Scheduler.release(Server, rank::Urgent, Now);
  }
  CHECK(Tried);
}

TEST_CASE_METHOD(pool_fixture, "a server that only ends old work is idle") {
  // None of four servers may be idle for two seconds.
  for (std::string Server : {"a", "b", "c", "d"})
    Scheduler.observe(Server, attempt_signal::Accepted, Now);
  Scheduler.setUsedElsewhere("a", 1, Now);
  Now += 1'500ms;
  for (std::string Server : {"b", "c", "d"})
    Scheduler.observe(Server, attempt_signal::Accepted, Now);
  SECTION("an answer to an earlier request") {
    Scheduler.observe("a", attempt_signal::Good, Now);
  }
  SECTION("an error after long work") {
    Scheduler.observe("a", attempt_signal::Erred, Now);
  }
  SECTION("slots that others still use") {
    Scheduler.setUsedElsewhere("a", 1, Now);
  }
  Now += 400ms;
  CHECK(place() == "a");
}

TEST_CASE_METHOD(pool_fixture, "a server that nobody has tried comes first") {
  configure(20);
  Now += 3s;
  std::set<std::string> Used;
  for (int Count = 0; Count < 20; ++Count) {
    std::string Server = place();
    Used.insert(Server);
    Scheduler.release(Server, rank::Urgent, Now);
  }
  CHECK(Used.size() == 20);
}

TEST_CASE_METHOD(pool_fixture, "while most servers fail, the healthy ones "
                               "are kept in use") {
  // The load: a spell of failures on six of ten servers; two of the other four
  // have had no work, which is half of the healthy ones.
  configure(10);
  for (std::string Server : {"g", "h", "i", "j"})
    Scheduler.observe(Server, attempt_signal::Accepted, Now);
  for (std::string Server : {"a", "b", "c", "d", "e", "f"})
    Scheduler.observe(Server, attempt_signal::Failed, Now);
  Now += 1'900ms;
  for (std::string Server : {"a", "b", "c", "d", "e", "f"})
    Scheduler.observe(Server, attempt_signal::Failed, Now);
  for (std::string Server : {"g", "h"})
    Scheduler.observe(Server, attempt_signal::Accepted, Now);
  std::set<std::string> Used{place(), place()};
  CHECK(Used == std::set<std::string>{"i", "j"});
}

TEST_CASE_METHOD(pool_fixture, "an instance that starts again is a new one") {
  for (int Count = 0; Count < 3; ++Count)
    Scheduler.observe("a", attempt_signal::Failed, Now);
  Scheduler.markLeaving("b", Now);
  Servers[0].Started = 5;
  Servers[1].Instance = "i-other";
  Scheduler.configure(Definition, Servers, Now);
  std::set<std::string> Used;
  for (int Count = 0; Count < 24; ++Count)
    Used.insert(place());
  CHECK(Used.contains("a"));
  CHECK(Used.contains("b"));
}

TEST_CASE_METHOD(pool_fixture, "a server that hangs is avoided, whatever it "
                               "accepts") {
  for (int Count = 0; Count < 3; ++Count) {
    Scheduler.observe("a", attempt_signal::Accepted, Now);
    Scheduler.observe("a", attempt_signal::Slow, Now);
    Scheduler.observe("a", attempt_signal::Accepted, Now);
  }
  CHECK(Scheduler.isSlow("a", Now));
  for (int Count = 0; Count < 18; ++Count)
    CHECK(place() != "a");
  for (int Count = 0; Count < 6; ++Count)
    Scheduler.observe("a", attempt_signal::Good, Now);
  CHECK_FALSE(Scheduler.isSlow("a", Now));
}

TEST_CASE_METHOD(pool_fixture, "a server that can't be reached from here is "
                               "left to others, and tried again later") {
  Scheduler.observe("a", attempt_signal::Unreachable, Now);
  Scheduler.observe("a", attempt_signal::Unreachable, Now);
  for (int Count = 0; Count < 18; ++Count)
    CHECK(place() != "a");
  Now += 20s;
  for (std::string Other : {"b", "c", "d"})
    Scheduler.setUsedElsewhere(Other, 60, Now);
  CHECK(place() == "a");
}

TEST_CASE_METHOD(pool_fixture, "a leaving server gets nothing new") {
  Servers[0].State = server_state::Leaving;
  Scheduler.configure(Definition, Servers, Now);
  Scheduler.markLeaving("c", Now);
  for (int Count = 0; Count < 40; ++Count) {
    std::string Server = place();
    CHECK(Server != "a");
    CHECK(Server != "c");
  }
}

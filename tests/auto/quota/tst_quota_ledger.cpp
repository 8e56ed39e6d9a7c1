#include "failure_check.h"
#include "quota/quota_ledger.h"
#include "quota/quota_meter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr quota_settings Terms{5'000ms, 0.1, 20};

organisation_table_ref tableWith(const request_quota &Quota) {
  return valueFrom([&] {
    return organisation_table::build({{{"acme", {}, Quota}, {}}});
  });
}

/// A coordinator of an organisation with 10 requests a second and a burst of
/// 10, and the counters of processes that have run for a minute.
class ledger_fixture {
public:
  /// What a process has seen since it started.
  struct process {
    std::uint64_t Incarnation = 1;
    quota_use Use{"acme"};
    milliseconds Uptime = 60s;
    /// Shares of requests that have not added up to one.
    double Credit = 0;

    void request(std::int64_t Requests, double Share) {
      Credit += static_cast<double>(Requests) * std::min(1.0, Share);
      auto Passed = static_cast<std::int64_t>(Credit);
      Credit -= static_cast<double>(Passed);
      Use.Requested += Requests;
      Use.Admitted += Passed;
      Use.RecentlyAdmitted += Passed;
    }
  };

  quota_share report(const std::string &Name, const process &Process) {
    auto Answer = Ledger.onReport(
        Name, {Process.Incarnation, Process.Uptime, {Process.Use}}, *Table,
        Fleet, Now);
    REQUIRE(Answer.size() == 1);
    return Answer[0];
  }

  /// Lets requests come that pass as the share says, for \p Time.
  quota_share send(const std::string &Name, process &Process, double Rate,
                   milliseconds Time) {
    for (steady_time End = Now + Time; Now < End;) {
      Now += 100ms;
      Process.request(static_cast<std::int64_t>(Rate / 10), Last.Share);
      Last = report(Name, Process);
    }
    return Last;
  }

  quota_ledger Ledger{Terms};
  organisation_table_ref Table = tableWith({10, 10});
  quota_fleet Fleet{1, 1};
  steady_time Now{1h};
  quota_share Last{"acme", 10};
};

} // namespace

TEST_CASE_METHOD(ledger_fixture, "nothing is restricted within the quota") {
  process Process;
  CHECK(send("p", Process, 10, 20s).Share >= 1);
  CHECK(Ledger.restricted() == 0);
  CHECK_FALSE(Ledger.nextWake());
}

TEST_CASE_METHOD(ledger_fixture, "a debt is paid back before the full quota "
                                 "passes again") {
  process Process;
  // All at once, before any share was known.
  Process.Use.Requested = Process.Use.Admitted = 60;
  Process.Use.RecentlyAdmitted = 60;
  CHECK(report("p", Process).Share < 1);
  send("p", Process, 100, 10s);
  double Share = Last.Share;
  CHECK(Share * 100 > 8);
  CHECK(Share * 100 < 12);
  CHECK(Ledger.restricted() == 1);
  // Only as much as the quota of these 10 s beside the burst has passed.
  CHECK(static_cast<double>(Process.Use.Admitted) <=
        10 * 10 + 60 + Terms.Slack);
}

TEST_CASE_METHOD(ledger_fixture, "a lowered quota forgives a debt but for one "
                                 "window") {
  Table = tableWith({1'000, 1'000});
  process Process;
  Process.Use.Requested = Process.Use.Admitted = 900;
  CHECK(report("p", Process).Share >= 1);
  Table = tableWith({10, 10});
  send("p", Process, 100, 5s);
  CHECK(send("p", Process, 100, 2s).Share > 0);
}

TEST_CASE_METHOD(ledger_fixture, "a restarted process is not counted twice") {
  process Process;
  send("p", Process, 10, 2s);
  process Restarted{2, {"acme", 3, 3, 3}, 100ms};
  CHECK(report("p", Restarted).Share >= 1);
  CHECK(send("p", Restarted, 10, 5s).Share >= 1);
}

TEST_CASE_METHOD(ledger_fixture, "a repeated report counts once") {
  process Process;
  Process.Use.Requested = Process.Use.Admitted = 4;
  Process.Use.RecentlyAdmitted = 4;
  for (int Count = 0; Count < 100; ++Count)
    CHECK(report("p", Process).Share >= 1);
}

TEST_CASE_METHOD(ledger_fixture, "a coordinator that takes over goes by what "
                                 "has been used of the window") {
  // The processes have used the whole window under another coordinator.
  for (int Index = 0; Index < 6; ++Index) {
    process Process;
    Process.Use = {"acme", 1'000, 500, 10, 60, 100ms};
    Last = report("p" + std::to_string(Index), Process);
  }
  CHECK(Last.Share < 0.3);
}

TEST_CASE_METHOD(ledger_fixture, "processes that fall silent while the "
                                 "organisation is restricted keep their part") {
  std::vector<process> Processes(4);
  auto SendAll = [&](std::size_t Count, milliseconds Time) {
    for (steady_time End = Now + Time; Now < End;) {
      Now += 100ms;
      for (std::size_t Index = 0; Index < Count; ++Index) {
        process &Process = Processes[Index];
        Process.Use.KeepsReporting = true;
        Process.request(10, Last.Share);
        Last = report("p" + std::to_string(Index), Process);
      }
      Ledger.takeAnnouncements(*Table, Fleet, Now);
    }
  };
  SendAll(4, 3s);
  REQUIRE(Ledger.restricted() == 1);
  SendAll(2, 1s);
  auto Admitted = [&] {
    return Processes[0].Use.Admitted + Processes[1].Use.Admitted;
  };
  std::int64_t Before = Admitted();
  SendAll(2, 4s);
  // Half of the requests came through the silent ones, which may use half of
  // the quota; beside the other half at most the burst passes.
  CHECK(Admitted() - Before <= 5 * 4 + 10);
  CHECK(Admitted() - Before > 0);
}

TEST_CASE_METHOD(ledger_fixture, "restrictions are announced twice a second "
                                 "until they end") {
  process Process;
  send("p", Process, 200, 2s);
  REQUIRE(Ledger.restricted() == 1);
  int Announced = 0;
  for (steady_time End = Now + 1s; Now < End; Now += 10ms) {
    auto Due = Ledger.nextWake();
    if (!Due || Now < *Due)
      continue;
    for (const quota_share &Share :
         Ledger.takeAnnouncements(*Table, Fleet, Now)) {
      CHECK(Share.Share < 1);
      CHECK_FALSE(Share.OwnPart);
      ++Announced;
    }
  }
  CHECK(Announced >= 1);
  CHECK(Announced <= 3);
  // No requests come any more.
  Now += 20s;
  CHECK(Ledger.takeAnnouncements(*Table, Fleet, Now).empty());
  CHECK_FALSE(Ledger.nextWake());
}

TEST_CASE_METHOD(ledger_fixture, "an organisation that is gone is announced no "
                                 "longer") {
  process Process;
  send("p", Process, 200, 2s);
  Table = valueFrom([] { return organisation_table::build({}); });
  Now += 1s;
  CHECK(Ledger.takeAnnouncements(*Table, Fleet, Now).empty());
  CHECK_FALSE(Ledger.nextWake());
}

TEST_CASE_METHOD(ledger_fixture,
                 "organisations without reports are forgotten") {
  process Process;
  send("p", Process, 10, 1s);
  Now += 31s;
  Ledger.onReport("p", {}, *Table, Fleet, Now);
  CHECK(Ledger.size() == 0);
}

TEST_CASE_METHOD(ledger_fixture,
                 "requests after a meter has forgotten an organisation are "
                 "counted, though its counters begin anew") {
  quota_meter Meter(Terms, 1);
  auto SendAndReport = [&](int Requests) {
    for (int Count = 0; Count < Requests; ++Count)
      Meter.admit("acme", {10, 10}, Now);
    auto Answer = Ledger.onReport("p", {1, 60s, Meter.takeReport(Now += 100ms)},
                                  *Table, Fleet, Now);
    REQUIRE(Answer.size() == 1);
    Meter.onShares(Answer, Now);
    return Answer[0];
  };
  SendAndReport(20);
  SendAndReport(1);
  Now += quota_meter::IdleLifetime + 200ms;
  Meter.takeReport(Now);
  Meter.expire(Now);
  REQUIRE(Meter.size() == 0);
  // The same counters as before, and more than the burst.
  SendAndReport(21);
  CHECK(SendAndReport(10).Share < 1);
}

TEST_CASE_METHOD(ledger_fixture, "a coordinator that is one again doesn't "
                                 "charge at once what another has counted") {
  std::vector<process> Processes(2);
  auto SendAll = [&](std::int64_t Requests) {
    for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
      Processes[Index].Use.Requested += Requests;
      Processes[Index].Use.Admitted += Requests;
      Last = report("p" + std::to_string(Index), Processes[Index]);
    }
  };
  for (int Count = 0; Count < 10; ++Count) {
    Now += 1s;
    SendAll(4);
  }
  // Another member coordinates for 8 s, in which 8 requests a second pass.
  Now += 8s;
  for (process &Process : Processes) {
    Process.Use.KnownRequestRate = 8;
    Process.Use.KnownRequestRateAge = 100ms;
    Process.Use.RecentlyAdmitted = 20;
  }
  SendAll(32);
  CHECK(Last.Share >= 1);
  Now += 1'500ms;
  SendAll(2);
  CHECK(Last.Share >= 1);
}

TEST_CASE_METHOD(ledger_fixture, "a process that restarts does not renew the "
                                 "burst of its organisation") {
  process Process;
  send("p", Process, 100, 10s);
  REQUIRE(Last.Share < 0.2);
  process Restarted{2, {"acme", 1, 1, 1}, 1s};
  CHECK(report("q", Restarted).Share < 0.2);
}

TEST_CASE_METHOD(ledger_fixture, "a coordinator that takes over does not grant "
                                 "the burst again") {
  // Another member has let the burst and then the quota pass for 2 s.
  process Process;
  Process.Use = {"acme", 250, 40, 40, 100, 50ms};
  report("p", Process);
  send("p", Process, 100, 1s);
  std::int64_t Before = Process.Use.Admitted;
  send("p", Process, 100, 2s);
  CHECK(Process.Use.Admitted - Before <= 10 * 2 + 5);
}

TEST_CASE_METHOD(ledger_fixture,
                 "a fleet that starts again pays for no more than its quota "
                 "while its coordinator knows few members") {
  Fleet = {1, 1};
  for (int Index = 0; Index < 8; ++Index) {
    Now += 100ms;
    process Started;
    Started.Uptime = 500ms;
    Started.request(1, 1);
    report("p" + std::to_string(Index), Started);
  }
  Now += 1s;
  process Another;
  Another.request(1, 1);
  CHECK(report("another", Another).Share >= 1);
}

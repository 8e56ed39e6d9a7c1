#include "quota/quota_meter.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <limits>
#include <string>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

constexpr quota_settings Terms{5'000ms, 0.1, 20};
constexpr request_quota Quota{10, 10};
/// Requests of a window by which this quota may be exceeded.
constexpr double Tolerance = 26;

/// A meter of one of 13 processes, so that two requests pass unconfirmed.
class meter_fixture {
public:
  meter_fixture() { Meter.setMemberCount(13); }

  quota_decision ask() { return Meter.admit("acme", Quota, Now); }

  /// Sends a request every \p Interval and returns how many are admitted.
  int askFor(milliseconds Time, milliseconds Interval = 5ms) {
    int Admitted = 0;
    for (milliseconds Passed{0}; Passed < Time; Passed += Interval) {
      Now += Interval;
      Admitted += ask().Admitted ? 1 : 0;
    }
    return Admitted;
  }

  void answer(double Share, double OwnPart = 0.25) {
    quota_share Answer{"acme", Share, 100, OwnPart};
    Meter.onShares({&Answer, 1}, Now);
  }

  /// Takes all reports that are due until nothing is to be reported.
  int reportsUntilSilent() {
    int Reports = 0;
    for (; Meter.nextReport() && Reports < 1'000; ++Reports) {
      steady_time Due = *Meter.nextReport();
      Now = std::max(Now, Due);
      Meter.takeReport(Now);
      if (Meter.nextReport())
        CHECK(*Meter.nextReport() > Now);
    }
    return Reports;
  }

  quota_meter Meter{Terms, 3};
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(meter_fixture, "requests without a quota are not counted") {
  CHECK(Meter.admit("", Quota, Now).Basis == quota_basis::Unlimited);
  CHECK(Meter.admit("acme", {}, Now).Admitted);
  CHECK(Meter.admit("acme", {0, 10}, Now).Basis == quota_basis::Unlimited);
  CHECK(Meter.size() == 0);
  CHECK_FALSE(Meter.nextReport());
}

TEST_CASE_METHOD(meter_fixture,
                 "few requests pass before the coordinator has been heard") {
  for (int Count = 0; Count < 2; ++Count) {
    quota_decision Decision = ask();
    CHECK(Decision.Admitted);
    CHECK(Decision.Basis == quota_basis::Unconfirmed);
  }
  CHECK(ask().Basis == quota_basis::OwnPart);
  CHECK(Meter.nextReport() == Now);
}

TEST_CASE_METHOD(meter_fixture, "the coordinator's share of requests passes") {
  double Share = GENERATE(0.0, 0.1, 0.5, 0.93);
  ask();
  answer(Share);
  int Admitted = 0;
  for (int Count = 0; Count < 1'000; ++Count) {
    quota_decision Decision = ask();
    CHECK(Decision.Basis == quota_basis::Share);
    Admitted += Decision.Admitted ? 1 : 0;
    if (!Decision.Admitted) {
      CHECK(Decision.RetryAfter >= 500ms);
      CHECK(Decision.RetryAfter <= Terms.Window * 5 / 4);
    }
  }
  CHECK(Admitted >= 1'000 * Share - 1);
  CHECK(Admitted <= 1'000 * Share + 1);
}

TEST_CASE_METHOD(meter_fixture, "all requests pass without a restriction") {
  ask();
  answer(10);
  CHECK(askFor(150ms) == 30);
}

TEST_CASE_METHOD(meter_fixture, "without answers a process keeps to its own "
                                "part of the quota") {
  ask();
  answer(10);
  ask();
  Meter.takeReport(Now += 100ms);
  Now += quota_meter::AnswerTimeout;
  // Two requests may have been saved up.
  int Admitted = askFor(5s);
  CHECK(Admitted <= 0.25 * 10 * 5 + 2);
  CHECK(Admitted >= 0.8 * 0.25 * 10 * 5);
  CHECK(ask().Basis == quota_basis::OwnPart);
}

TEST_CASE_METHOD(meter_fixture, "a process without recent knowledge uses only "
                                "its part of the tolerated requests") {
  ask();
  answer(10, 1);
  ask();
  Meter.takeReport(Now += 100ms);
  askFor(quota_meter::OwnPartLifetime);
  CHECK(askFor(10s) <= 2 * Tolerance / 13 + 2);
}

TEST_CASE_METHOD(meter_fixture, "a report without an answer is repeated with "
                                "the same counters, then given up") {
  ask();
  ask();
  auto First = Meter.takeReport(Now);
  REQUIRE(First.size() == 1);
  CHECK(First[0].Requested == 2);
  CHECK(First[0].Admitted == 2);
  Now += quota_meter::RepeatInterval;
  REQUIRE(Meter.nextReport() == Now);
  CHECK(Meter.takeReport(Now) == First);
  // Reports of GiveUpTime, the first two among them.
  CHECK(reportsUntilSilent() <= 10);
}

TEST_CASE_METHOD(meter_fixture, "a process goes on reporting while an "
                                "organisation is restricted, and no longer") {
  ask();
  Meter.takeReport(Now);
  answer(0.5);
  int Reports = 0;
  for (steady_time End = Now + 1'500ms; Now < End; Now += 10ms)
    if (Meter.nextReport() && *Meter.nextReport() <= Now) {
      auto Report = Meter.takeReport(Now);
      Reports += static_cast<int>(Report.size());
      for (const quota_use &Use : Report)
        CHECK(Use.KeepsReporting);
      answer(0.5);
    }
  CHECK(Reports >= 4);
  answer(10);
  Now += quota_meter::RestrictionLifetime;
  CHECK(reportsUntilSilent() <= 12);
}

TEST_CASE_METHOD(meter_fixture, "requests that are taken back don't count") {
  ask();
  ask();
  Meter.takeBack("acme", Now);
  REQUIRE(Meter.nextReport());
  auto Report = Meter.takeReport(Now + 100ms);
  REQUIRE(Report.size() == 1);
  CHECK(Report[0].Requested == 2);
  CHECK(Report[0].Admitted == 1);
  CHECK(Report[0].RecentlyAdmitted == 1);
  Meter.takeBack("unknown", Now);
  CHECK(Meter.size() == 1);
}

TEST_CASE_METHOD(meter_fixture, "a request that is taken back after the window "
                                "of its admission leaves no negative count") {
  ask();
  Meter.takeReport(Now);
  Now += 7s;
  Meter.takeBack("acme", Now);
  auto Report = Meter.takeReport(Now + 100ms);
  REQUIRE(Report.size() == 1);
  CHECK(Report[0].Admitted == 0);
  CHECK(Report[0].RecentlyAdmitted == 0);
}

TEST_CASE_METHOD(meter_fixture, "140,000 organisations are forgotten when they "
                                "send nothing") {
  constexpr std::size_t Organisations = 140'000;
  for (std::size_t Index = 0; Index < Organisations; ++Index)
    Meter.admit("organisation-" + std::to_string(Index), Quota, Now);
  CHECK(Meter.size() == Organisations);
  CHECK(Meter.takeReport(Now).size() == Organisations);
  CHECK(reportsUntilSilent() <= 12);
  Meter.expire(Now);
  CHECK(Meter.size() == Organisations);
  Now += quota_meter::IdleLifetime + 1ms;
  Meter.expire(Now);
  CHECK(Meter.size() == 0);
}

#include "process/work_report.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct collector_fixture {
  std::vector<endpoint_text> told() {
    std::vector<endpoint_text> Servers;
    for (const server_work &Work : Collector.take("s", Now).Servers)
      Servers.push_back(Work.Server);
    return Servers;
  }

  work_collector Collector;
  steady_time Now{1h};
};

using servers = std::vector<endpoint_text>;

} // namespace

TEST_CASE_METHOD(collector_fixture, "a report tells what has changed") {
  Collector.noteUse("a", 1);
  Collector.noteUse("b", 2);
  CHECK(told() == servers{"a", "b"});
  Now += work_collector::LeastPeriod;
  Collector.noteUse("b", 3);
  CHECK(told() == servers{"b"});
}

TEST_CASE_METHOD(collector_fixture, "slots that stay in use are told again, "
                                    "for whoever missed a datagram") {
  Collector.noteUse("a", 1);
  CHECK(told() == servers{"a"});
  CHECK_FALSE(Collector.due(Now + work_collector::LeastPeriod));
  Now += work_collector::Refresh;
  CHECK(Collector.due(Now));
  CHECK(told() == servers{"a"});
}

TEST_CASE_METHOD(collector_fixture, "the end of use is told once") {
  Collector.noteUse("a", 1);
  told();
  Collector.noteUse("a", 0);
  Collector.noteSignal("a", attempt_signal::Good);
  work_report Report = Collector.take("s", Now);
  REQUIRE(Report.Servers.size() == 1);
  CHECK(Report.Servers[0].InUse == 0);
  CHECK(Report.Servers[0].Good == 1);
  CHECK(Collector.empty());
}

TEST_CASE_METHOD(collector_fixture, "what was told of answers is not told "
                                    "again") {
  Collector.noteUse("a", 2);
  Collector.noteSignal("a", attempt_signal::Accepted);
  CHECK(Collector.take("s", Now).Servers[0].Accepted == 1);
  Now += work_collector::Refresh;
  CHECK(Collector.take("s", Now).Servers[0].Accepted == 0);
}

TEST_CASE_METHOD(collector_fixture, "a failure is told at once") {
  Collector.noteUse("a", 1);
  told();
  Collector.noteSignal("a", attempt_signal::Good);
  CHECK_FALSE(Collector.due(Now));
  Collector.noteSignal("a", attempt_signal::Failed);
  CHECK(Collector.due(Now));
}

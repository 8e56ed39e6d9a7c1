#include "process/work_report.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct builder_fixture {
  std::vector<endpoint_text> reportedServers() {
    std::vector<endpoint_text> Servers;
    for (const server_work &Work : Builder.take("s", Now).Servers)
      Servers.push_back(Work.Server);
    return Servers;
  }

  work_report_builder Builder;
  steady_time Now{1h};
};

using servers = std::vector<endpoint_text>;

} // namespace

TEST_CASE_METHOD(builder_fixture,
                 "a report contains the servers that have changed") {
  Builder.recordUse("a", 1);
  Builder.recordUse("b", 2);
  CHECK(reportedServers() == servers{"a", "b"});
  Now += work_report_builder::MinInterval;
  Builder.recordUse("b", 3);
  CHECK(reportedServers() == servers{"b"});
}

TEST_CASE_METHOD(builder_fixture, "slots that stay in use are reported "
                                  "again, in case a datagram was lost") {
  Builder.recordUse("a", 1);
  CHECK(reportedServers() == servers{"a"});
  CHECK_FALSE(Builder.due(Now + work_report_builder::MinInterval));
  Now += work_report_builder::RefreshInterval;
  CHECK(Builder.due(Now));
  CHECK(reportedServers() == servers{"a"});
}

TEST_CASE_METHOD(builder_fixture, "the end of use is reported once") {
  Builder.recordUse("a", 1);
  reportedServers();
  Builder.recordUse("a", 0);
  Builder.recordSignal("a", attempt_signal::Good);
  work_report Report = Builder.take("s", Now);
  REQUIRE(Report.Servers.size() == 1);
  CHECK(Report.Servers[0].InUse == 0);
  CHECK(Report.Servers[0].Good == 1);
  CHECK(Builder.empty());
}

TEST_CASE_METHOD(builder_fixture, "signals are reported only once") {
  Builder.recordUse("a", 2);
  Builder.recordSignal("a", attempt_signal::Accepted);
  CHECK(Builder.take("s", Now).Servers[0].Accepted == 1);
  Now += work_report_builder::RefreshInterval;
  CHECK(Builder.take("s", Now).Servers[0].Accepted == 0);
}

TEST_CASE_METHOD(builder_fixture, "a failure is reported immediately") {
  Builder.recordUse("a", 1);
  reportedServers();
  Builder.recordSignal("a", attempt_signal::Good);
  CHECK_FALSE(Builder.due(Now));
  Builder.recordSignal("a", attempt_signal::Failed);
  CHECK(Builder.due(Now));
}

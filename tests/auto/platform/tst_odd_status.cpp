#include "platform_fixture.h"

#include <string>

using namespace endiverail;
using namespace endiverail::test;

namespace {

/// The target answers with the status that the path ends with.
std::string statusIn(const std::string &Head) {
  std::size_t At = Head.find("/orders/") + 8;
  return Head.substr(At, Head.find(' ', At) - At);
}

struct odd_status_fixture : platform_fixture {
  explicit odd_status_fixture(
      const std::string &Configuration = OrdersConfiguration)
      : platform_fixture(
            [](raw_connection &Caller, const target_request &Request) {
              Caller.send(target_standin::wholeAnswer(
                  Request.Id, statusIn(Request.Head) + " Odd"));
            },
            Configuration) {}
};

struct repeatable_odd_status_fixture : odd_status_fixture {
  repeatable_odd_status_fixture() : odd_status_fixture(LookupsConfiguration) {}
};

void checkNothingIsPassedOn(const odd_status_fixture &Fixture) {
  auto Daemon =
      Fixture.start(Fixture.First, Fixture.Store->endpoint(), Fixture.First);
  REQUIRE(odd_status_fixture::eventually(
      [&] { return Fixture.isReady(Fixture.First); }));
  for (const char *Status : {"000", "099", "600", "999"}) {
    INFO(Status);
    std::string Answer =
        Fixture.order(Fixture.First, std::string("/orders/") + Status);
    CHECK(Answer.starts_with("HTTP/1.1 502"));
    CHECK(Answer.find("Signature") == std::string::npos);
    CHECK(Answer.find("for id-1") == std::string::npos);
  }
  CHECK(
      Fixture.order(Fixture.First, "/orders/404").starts_with("HTTP/1.1 404"));
}

} // namespace

TEST_CASE_METHOD(odd_status_fixture, "a caller gets no answer whose status "
                                     "HTTP does not define") {
  checkNothingIsPassedOn(*this);
}

TEST_CASE_METHOD(repeatable_odd_status_fixture,
                 "a caller of a repeatable request gets no answer whose status "
                 "HTTP does not define") {
  checkNothingIsPassedOn(*this);
}

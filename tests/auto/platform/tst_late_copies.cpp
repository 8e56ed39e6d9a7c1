#include "platform_fixture.h"

#include <atomic>

using namespace endiverail;
using namespace endiverail::test;

namespace {

struct status_pair {
  const char *What;
  std::string First;
  std::string Second;
};

/// Status of an answer's first line.
std::string statusOf(const std::string &Answer) {
  return Answer.substr(0, std::string("HTTP/1.1 200").size());
}

} // namespace

TEST_CASE("a late copy that is cut in its head lends its status to no answer") {
  const status_pair Rows[]{
      {"a rejection before a success", "404 Not Found", "200 OK"},
      {"a success before a rejection", "200 OK", "404 Not Found"},
  };
  for (const status_pair &Row : Rows) {
    std::string Copy = target_standin::signedHead("1", Row.First);
    std::atomic<std::size_t> CopyBytes = 0;
    platform_fixture Fixture(
        [&](raw_connection &Caller, const target_request &Request) {
          if (Request.Id == "1") {
            Caller.send(target_standin::wholeAnswer("1", Row.First));
            return;
          }
          if (Request.Earlier > 0)
            Caller.send(Copy.substr(0, CopyBytes));
          Caller.send(target_standin::wholeAnswer("2", Row.Second));
        },
        LookupsConfiguration);
    const std::string &Host = Fixture.First;
    auto Daemon = Fixture.start(Host, Fixture.Store->endpoint(), Host);
    REQUIRE(Fixture.eventually([&] { return Fixture.isReady(Host); }));
    // Within the status line; the transport's test has all other places.
    for (std::size_t Bytes : {12, 14, 17}) {
      CopyBytes = Bytes;
      INFO(Row.What << ", a copy of " << CopyBytes << " bytes");
      std::string First = Fixture.order(Host, "/orders/1", 2'000, "1");
      REQUIRE(statusOf(First) == "HTTP/1.1 " + Row.First.substr(0, 3));
      std::string Second = Fixture.order(Host, "/orders/2", 2'000, "2");
      if (Second.find("Response-Signature: s-2") != std::string::npos)
        CHECK(statusOf(Second) == "HTTP/1.1 " + Row.Second.substr(0, 3));
      CHECK(Second.find("Response-Signature: s-1") == std::string::npos);
    }
  }
}

TEST_CASE("requests without an identifier get no late copy of each other's "
          "answers") {
  std::atomic<std::size_t> OnUsedConnections = 0;
  platform_fixture Fixture(
      [&](raw_connection &Caller, const target_request &Request) {
        OnUsedConnections += Request.Earlier > 0 ? 1 : 0;
        // The copy comes after the next request was sent.
        Caller.send(target_standin::wholeAnswer(
            Request.Id, Request.Earlier > 0 ? "404 Not Found" : "200 OK"));
      },
      LookupsConfiguration);
  const std::string &Host = Fixture.First;
  auto Daemon = Fixture.start(Host, Fixture.Store->endpoint(), Host);
  REQUIRE(Fixture.eventually([&] { return Fixture.isReady(Host); }));
  for (int Request = 0; Request < 3; ++Request)
    CHECK(statusOf(Fixture.order(Host, "/orders/1", 2'000, "")) ==
          "HTTP/1.1 200");
  CHECK(OnUsedConnections == 0);
}

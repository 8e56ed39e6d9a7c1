#include "platform_fixture.h"

#include <thread>

using namespace endiverail;
using namespace endiverail::test;

TEST_CASE_METHOD(platform_fixture,
                 "a daemon serves callers by what the store holds") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  std::string Answer = order(First, "/orders/1");
  CHECK(Answer.starts_with("HTTP/1.1 200"));
  CHECK(Answer.ends_with("\r\n\r\nfor id-1"));
  CHECK(order(First, "/unknown/1").starts_with("HTTP/1.1 404"));
  // The configuration allows heads of 2,000 bytes, the daemon by itself more.
  CHECK(eventually([&] {
    return order(First, "/orders/" + std::string(3'000, 'x'))
        .starts_with("HTTP/1.1 431");
  }));
  std::string Addresses =
      call(First, DirectoryPort,
           "GET /-/resolve?name=shop.example&region=r&zone=z HTTP/1.1");
  CHECK(Addresses.find(First + ":" + std::to_string(CallerPort)) !=
        std::string::npos);
}

TEST_CASE_METHOD(
    platform_fixture,
    "a daemon that can't reach the store serves by a peer's copy") {
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  std::string Nowhere = First + ":" + std::to_string(freePort());
  auto Other = start(Second, Nowhere, First);
  REQUIRE(eventually([&] { return isReady(Second); }));
  CHECK(order(Second, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "odd entries among those of the targets end "
                                   "no daemon") {
  std::string Deep = std::string(100'000, '[');
  auto Odd = [&](const std::string &Name, const nlohmann::json &Value) {
    auto Entry = nlohmann::json::parse(Target.entry());
    Entry[Name] = Value;
    return Entry.dump();
  };
  store_standin::topic_records Entries{
      {"a-deep", Deep},
      {"a-deep-and-whole", Deep + std::string(Deep.size(), ']')},
      {"a-field-deep", R"({"later":)" + Deep},
      {"a-number", R"({"slots":1e999})"},
      {"a-port", Odd("address", "127.0.0.1:99999")},
      {"a-sequence", Odd("sequence", 1e300)},
      {"a\r\nX-Injected: 1", Target.entry()},
      {"i-1", Target.entry()},
      {"z-nothing", ""},
      {"z-text", "\xff\xfe"}};
  store_standin OddStore({{"keyed.op", {{"config", OrdersConfiguration}}},
                          {"keyed.servers", Entries},
                          {"keyed.endiverail-members",
                           {{"odd", "127.0.0.1:99999"}, {"odder", Deep}}}});
  auto Daemon = start(First, OddStore.endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  for (int Order = 0; Order < 10; ++Order)
    CHECK(order(First, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "a daemon without a configuration promises "
                                   "that nothing has run") {
  std::string Nowhere = First + ":" + std::to_string(freePort());
  auto Daemon = start(First, Nowhere, First);
  REQUIRE(eventually(
      [&] { return order(First, "/orders/1").starts_with("HTTP/1.1 503"); }));
  CHECK_FALSE(isReady(First));
}

TEST_CASE_METHOD(platform_fixture, "changed settings are taken over while "
                                   "callers are served") {
  struct row {
    std::string What;
    nlohmann::json Change;
    settings_change Result;
  };
  auto Row = GENERATE(
      row{"nothing", nlohmann::json::object(), {false, false}},
      row{"what the fleet may retry",
          {{"retries", {{"share_of_requests", 0.1}, {"extra", 5}}}},
          {true, false}},
      row{"the time for the end", {{"grace_s", 1.5}}, {true, false}},
      row{"the store's address", {{"store", "127.0.0.9:1"}}, {false, true}},
      row{"several",
          {{"grace_s", 1.5}, {"seeds", {"127.0.0.9:1"}}},
          {true, true}});
  INFO(Row.What);
  auto Daemon = start(First, Store->endpoint(), First);
  REQUIRE(eventually([&] { return isReady(First); }));
  nlohmann::json Json = settingsJson(First, Store->endpoint(), First);
  Json.update(Row.Change);
  CHECK(Daemon->reload(settingsOf(Json)) == Row.Result);
  CHECK(isReady(First));
  CHECK(order(First, "/orders/1").ends_with("\r\n\r\nfor id-1"));
}

TEST_CASE_METHOD(platform_fixture, "a request that may outlast a planned end "
                                   "is refused before it is passed on") {
  auto Daemon = startWithShortEnd();
  CHECK(order(First, "/orders/1").starts_with("HTTP/1.1 200"));
  std::thread End([&] { Daemon->drain(); });
  poll(nullptr, 0, 100);
  // Callers may hold the address still.
  CHECK(order(First, "/orders/2").starts_with("HTTP/1.1 200"));
  poll(nullptr, 0, 300);
  std::string Late = order(First, "/orders/3");
  CHECK(Late.starts_with("HTTP/1.1 503"));
  CHECK(Late.find("Retry-After: 0.0") != std::string::npos);
  // What has too little time itself is answered before the end.
  CHECK_THAT(order(First, "/orders/4", 1'000),
             Catch::StartsWith("HTTP/1.1 200"));
  End.join();
}

TEST_CASE_METHOD(platform_fixture, "what was passed on before a planned end "
                                   "gets an answer") {
  auto Daemon = startWithShortEnd();
  std::string Answer;
  std::thread Caller([&] { Answer = order(First, "/orders/silent"); });
  poll(nullptr, 0, 50);
  Daemon->drain();
  Daemon.reset();
  Caller.join();
  CHECK(Answer.starts_with("HTTP/1.1 504"));
}

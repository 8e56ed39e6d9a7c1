#include "process/topic_consumer.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct consumer_fixture {
  template <typename Call> Call due() {
    auto Next = Consumer.next(Now);
    REQUIRE(Next);
    REQUIRE(std::holds_alternative<Call>(*Next));
    return std::get<Call>(*Next);
  }

  static keyed_page page(std::vector<std::string> Keys, std::uint64_t EndOffset,
                         bool HasMore = false) {
    keyed_page Page;
    for (std::string &Key : Keys)
      Page.Records.push_back({std::move(Key), "value"});
    Page.EndOffset = EndOffset;
    Page.HasMore = HasMore;
    return Page;
  }

  topic_consumer Consumer{store_topic::BackendServers, {500ms, 0ms}, 1};
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(consumer_fixture,
                 "reads continue from the offset at which the listing began") {
  CHECK(due<list_newest>().AfterKey.empty());
  CHECK_FALSE(Consumer.next(Now));
  Consumer.onPage(page({"a", "b"}, 40, true), Now);
  CHECK(due<list_newest>().AfterKey == "b");
  // Records that are written between the pages are read afterwards.
  Consumer.onPage(page({"c"}, 43), Now);
  CHECK(Consumer.completedListing());
  CHECK_FALSE(Consumer.next(Now));
  Now += 500ms;
  CHECK(due<read_records>().FromOffset == 40);
  Consumer.onPage(page({"x", "y", "z"}, 43), Now);
  CHECK_FALSE(Consumer.completedListing());
  Now += 500ms;
  CHECK(due<read_records>().FromOffset == 43);
}

TEST_CASE_METHOD(consumer_fixture,
                 "a listing is repeated after records were deleted") {
  due<list_newest>();
  Consumer.onPage(page({}, 5), Now);
  Now += 500ms;
  due<read_records>();
  Consumer.onRecordsDeleted(Now);
  CHECK(due<list_newest>().AfterKey.empty());
}

TEST_CASE_METHOD(consumer_fixture, "failed calls are retried with exponential "
                                   "backoff until the first response") {
  backoff_settings Polling =
      GENERATE(topic_consumer::ReaderBackoff, topic_consumer::NonReaderBackoff);
  std::vector<milliseconds> Backoff;
  for (int Count = 0; Count < 8; ++Count) {
    due<list_newest>();
    Consumer.onFailure(Now, Polling);
    milliseconds Interval =
        std::chrono::duration_cast<milliseconds>(*Consumer.nextWake() - Now);
    Backoff.push_back(Interval);
    Now = *Consumer.nextWake();
  }
  CHECK(Backoff.front() >= Polling.Initial / 2);
  CHECK(Backoff.front() <= Polling.Initial);
  CHECK(Backoff.back() >= Polling.Max / 2);
  CHECK(Backoff.back() <= Polling.Max);
  due<list_newest>();
  Consumer.onPage(page({}, 5), Now);
  CHECK_FALSE(Consumer.failing());
  CHECK(*Consumer.nextWake() == Now + 500ms);
}

TEST_CASE_METHOD(
    consumer_fixture,
    "pollNow() makes a read due and reports whether a call is pending") {
  due<list_newest>();
  Consumer.onPage(page({}, 5), Now);
  CHECK_FALSE(Consumer.pollNow(Now));
  due<read_records>();
  CHECK(Consumer.pollNow(Now));
  due<read_records>();
}

TEST_CASE_METHOD(
    consumer_fixture,
    "a consumer that is behind reads on immediately and isn't up to date") {
  due<list_newest>();
  steady_time Listed = Now;
  Now += 5ms;
  Consumer.onPage(page({}, 5), Now);
  CHECK(Consumer.upToDateAsOf() == Listed);
  Now += 500ms;
  due<read_records>();
  Consumer.onPage(page({"a", "b"}, 9), Now);
  CHECK_FALSE(Consumer.upToDateAsOf());
  CHECK(due<read_records>().FromOffset == 7);
  steady_time Read = Now;
  Now += 5ms;
  Consumer.onPage(page({"c", "d"}, 9), Now);
  CHECK(Consumer.upToDateAsOf() == Read);
  CHECK_FALSE(Consumer.next(Now));
}

TEST_CASE_METHOD(consumer_fixture,
                 "a reused connection without a response is given up "
                 "immediately and doesn't indicate an outage of the store") {
  due<list_newest>();
  CHECK(Consumer.connection() == connection_choice::Fresh);
  Consumer.onResponseStarted(Now);
  Consumer.onPage(page({}, 5), Now);
  Now += 500ms;
  due<read_records>();
  CHECK(Consumer.connection() == connection_choice::Reuse);
  Now += topic_consumer::SoftTimeout;
  CHECK(Consumer.nextWake() == Now);
  CHECK(Consumer.takeTimeout(Now) == call_timeout::Hard);
  CHECK_FALSE(Consumer.onFailure(Now));
  due<read_records>();
  CHECK(Consumer.connection() == connection_choice::Fresh);
}

TEST_CASE_METHOD(consumer_fixture, "a call on a new connection reaches the "
                                   "soft timeout, then the hard timeout") {
  due<list_newest>();
  Consumer.onSent(Now + 20ms);
  Now += topic_consumer::SoftTimeout;
  CHECK(Consumer.takeTimeout(Now) == call_timeout::None);
  Now += 20ms;
  CHECK(Consumer.takeTimeout(Now) == call_timeout::Soft);
  CHECK(Consumer.takeTimeout(Now) == call_timeout::None);
  Now = *Consumer.nextWake();
  CHECK(Consumer.takeTimeout(Now) == call_timeout::Hard);
  CHECK(Consumer.onFailure(Now));
  CHECK(Consumer.nextWake() > Now);
}

TEST_CASE_METHOD(consumer_fixture,
                 "a call doesn't time out once its response has started") {
  due<list_newest>();
  Consumer.onResponseStarted(Now);
  CHECK_FALSE(Consumer.nextWake());
  Now += 5s;
  CHECK(Consumer.takeTimeout(Now) == call_timeout::None);
  CHECK_FALSE(Consumer.onFailure(Now));
  CHECK(Consumer.nextWake() > Now);
}

TEST_CASE_METHOD(consumer_fixture, "a failure that a delayed thread reports "
                                   "doesn't indicate an outage of the store") {
  due<list_newest>();
  Now += 2s;
  CHECK_FALSE(Consumer.onFailure(Now));
}

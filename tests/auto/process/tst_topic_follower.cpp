#include "process/topic_follower.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

struct follower_fixture {
  template <typename Call> Call due() {
    auto Next = Follower.next(Now);
    REQUIRE(Next);
    REQUIRE(std::holds_alternative<Call>(*Next));
    return std::get<Call>(*Next);
  }

  static keyed_page page(std::vector<std::string> Keys, std::uint64_t End,
                         bool More = false) {
    keyed_page Page;
    for (std::string &Key : Keys)
      Page.Records.push_back({std::move(Key), "value"});
    Page.End = End;
    Page.More = More;
    return Page;
  }

  topic_follower Follower{store_topic::BackendServers, {500ms, 0ms}, 1};
  steady_time Now{1h};
};

} // namespace

TEST_CASE_METHOD(follower_fixture, "a listing is followed by reads from where "
                                   "it began") {
  CHECK(due<list_newest>().After.empty());
  CHECK_FALSE(Follower.next(Now));
  Follower.onPage(page({"a", "b"}, 40, true), Now);
  CHECK(due<list_newest>().After == "b");
  // Records that come between the pages are read afterwards.
  Follower.onPage(page({"c"}, 43), Now);
  CHECK(Follower.endedListing());
  CHECK_FALSE(Follower.next(Now));
  Now += 500ms;
  CHECK(due<read_records>().From == 40);
  Follower.onPage(page({"x", "y", "z"}, 43), Now);
  CHECK_FALSE(Follower.endedListing());
  Now += 500ms;
  CHECK(due<read_records>().From == 43);
}

TEST_CASE_METHOD(follower_fixture, "deleted records lead to another listing") {
  due<list_newest>();
  Follower.onPage(page({}, 5), Now);
  Now += 500ms;
  due<read_records>();
  Follower.onForgotten(Now);
  CHECK(due<list_newest>().After.empty());
}

TEST_CASE_METHOD(follower_fixture, "failed calls are repeated ever more "
                                   "rarely, and the first answer ends that") {
  back_off Terms =
      GENERATE(topic_follower::EagerBackOff, topic_follower::RelaxedBackOff);
  std::vector<milliseconds> Pauses;
  for (int Count = 0; Count < 8; ++Count) {
    due<list_newest>();
    Follower.onFailure(Now, Terms);
    milliseconds Pause =
        std::chrono::duration_cast<milliseconds>(*Follower.nextWake() - Now);
    Pauses.push_back(Pause);
    Now = *Follower.nextWake();
  }
  CHECK(Pauses.front() >= Terms.First / 2);
  CHECK(Pauses.front() <= Terms.First);
  CHECK(Pauses.back() >= Terms.Longest / 2);
  CHECK(Pauses.back() <= Terms.Longest);
  due<list_newest>();
  Follower.onPage(page({}, 5), Now);
  CHECK_FALSE(Follower.failing());
  CHECK(*Follower.nextWake() == Now + 500ms);
}

TEST_CASE_METHOD(follower_fixture, "a hurried follower reads at once and says "
                                   "whether a call is in the way") {
  due<list_newest>();
  Follower.onPage(page({}, 5), Now);
  CHECK_FALSE(Follower.hurry(Now));
  due<read_records>();
  CHECK(Follower.hurry(Now));
  due<read_records>();
}

TEST_CASE_METHOD(follower_fixture, "a follower that is behind reads on at once "
                                   "and does not take itself for complete") {
  due<list_newest>();
  steady_time Listed = Now;
  Now += 5ms;
  Follower.onPage(page({}, 5), Now);
  CHECK(Follower.completeAsOf() == Listed);
  Now += 500ms;
  due<read_records>();
  Follower.onPage(page({"a", "b"}, 9), Now);
  CHECK_FALSE(Follower.completeAsOf());
  CHECK(due<read_records>().From == 7);
  steady_time Read = Now;
  Now += 5ms;
  Follower.onPage(page({"c", "d"}, 9), Now);
  CHECK(Follower.completeAsOf() == Read);
  CHECK_FALSE(Follower.next(Now));
}

TEST_CASE_METHOD(follower_fixture, "a kept connection that goes silent is left "
                                   "at once, and says nothing of the store") {
  due<list_newest>();
  CHECK(Follower.connection() == connection_choice::Fresh);
  Follower.onAnswering(Now);
  Follower.onPage(page({}, 5), Now);
  Now += 500ms;
  due<read_records>();
  CHECK(Follower.connection() == connection_choice::Reuse);
  Now += topic_follower::AnswerTime;
  CHECK(Follower.nextWake() == Now);
  CHECK(Follower.takeSilence(Now) == call_silence::Lost);
  CHECK_FALSE(Follower.onFailure(Now));
  due<read_records>();
  CHECK(Follower.connection() == connection_choice::Fresh);
}

TEST_CASE_METHOD(follower_fixture, "a store that is silent on a fresh "
                                   "connection is noticed, then given up") {
  due<list_newest>();
  Follower.onSent(Now + 20ms);
  Now += topic_follower::AnswerTime;
  CHECK(Follower.takeSilence(Now) == call_silence::None);
  Now += 20ms;
  CHECK(Follower.takeSilence(Now) == call_silence::Noticed);
  CHECK(Follower.takeSilence(Now) == call_silence::None);
  Now = *Follower.nextWake();
  CHECK(Follower.takeSilence(Now) == call_silence::Lost);
  CHECK(Follower.onFailure(Now));
  CHECK(Follower.nextWake() > Now);
}

TEST_CASE_METHOD(follower_fixture, "an answer that has begun is waited for") {
  due<list_newest>();
  Follower.onAnswering(Now);
  CHECK_FALSE(Follower.nextWake());
  Now += 5s;
  CHECK(Follower.takeSilence(Now) == call_silence::None);
  CHECK_FALSE(Follower.onFailure(Now));
  CHECK(Follower.nextWake() > Now);
}

TEST_CASE_METHOD(follower_fixture, "a failure that a late thread takes says "
                                   "nothing of the store") {
  due<list_newest>();
  Now += 2s;
  CHECK_FALSE(Follower.onFailure(Now));
}

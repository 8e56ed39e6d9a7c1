#include "process/rank_queue.h"

#include <catch2/catch.hpp>

#include <map>

using namespace endiverail;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};

waiting_request requestOf(request_id Id, const std::string &Organisation,
                          steady_time Deadline = Now + 1s) {
  waiting_request Request;
  Request.Id = Id;
  Request.Organisation = Organisation;
  Request.Arrived = Now;
  Request.Target = 300ms;
  Request.Deadline = Deadline;
  Request.UsualTime = 20ms;
  return Request;
}

} // namespace

TEST_CASE("organisations are served round-robin") {
  rank_queue Queue(100);
  for (request_id Id = 1; Id <= 4; ++Id)
    Queue.push(requestOf(Id, "flood"), Now);
  Queue.push(requestOf(5, "other"), Now);
  std::vector<request_id> Order;
  while (!Queue.empty())
    Order.push_back(Queue.pop(Now).Id);
  CHECK(Order == std::vector<request_id>{1, 5, 2, 3, 4});
}

TEST_CASE("a full queue drops the newest request of the largest organisation") {
  rank_queue Queue(3);
  for (request_id Id = 1; Id <= 3; ++Id)
    CHECK_FALSE(Queue.push(requestOf(Id, "flood"), Now));
  auto Dropped = Queue.push(requestOf(4, "other"), Now);
  REQUIRE(Dropped);
  CHECK(Dropped->Id == 3);
  CHECK(Queue.size() == 3);
}

TEST_CASE("when all requests would be late, the newest is served first and the "
          "oldest dropped") {
  rank_queue Queue(3);
  for (request_id Id = 1; Id <= 3; ++Id)
    Queue.push(requestOf(Id, "a"), Now);
  CHECK(Queue.front(Now + 150ms)->Id == 1);
  steady_time Late = Now + 151ms;
  CHECK(Queue.front(Late)->Id == 3);
  waiting_request Newest = requestOf(4, "a");
  Newest.Arrived = Late;
  CHECK(Queue.push(Newest, Late)->Id == 1);
  CHECK(Queue.pop(Late).Id == 4);
}

TEST_CASE("requests that can't be answered in time expire") {
  rank_queue Queue(10);
  Queue.push(requestOf(1, "a", Now + 100ms), Now);
  Queue.push(requestOf(2, "a", Now + 10ms), Now);
  Queue.push(requestOf(3, "b", Now - 1ms), Now);
  auto Expired = Queue.takeExpired(Now);
  CHECK(Expired.size() == 2);
  CHECK(Queue.size() == 1);
  CHECK(Queue.front(Now)->Id == 1);
}

TEST_CASE("a removed request is no longer queued") {
  rank_queue Queue(10);
  Queue.push(requestOf(1, "a"), Now);
  CHECK(Queue.remove(1));
  CHECK_FALSE(Queue.remove(1));
  CHECK(Queue.empty());
  CHECK(Queue.front(Now) == nullptr);
}

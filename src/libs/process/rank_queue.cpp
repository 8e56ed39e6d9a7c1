#include "process/rank_queue.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace endiverail {

rank_queue::organisation_queue &
rank_queue::queueOf(const std::string &Organisation) {
  auto Found = std::ranges::find(RoundRobin, Organisation,
                                 &organisation_queue::Organisation);
  if (Found != RoundRobin.end())
    return *Found;
  return RoundRobin.emplace_back(organisation_queue{Organisation, {}});
}

void rank_queue::dropEmpty() {
  std::erase_if(RoundRobin, [](const organisation_queue &Queue) {
    return Queue.Requests.empty();
  });
}

bool rank_queue::organisation_queue::servesNewestFirst(steady_time Now) const {
  const waiting_request &Oldest = Requests.front();
  return Now - Oldest.Arrived > Oldest.Target / 2;
}

const waiting_request &
rank_queue::organisation_queue::last(steady_time Now) const {
  return servesNewestFirst(Now) ? Requests.front() : Requests.back();
}

const rank_queue::organisation_queue *rank_queue::longest() const {
  auto Longest = std::ranges::max_element(
      RoundRobin, {},
      [](const organisation_queue &Queue) { return Queue.Requests.size(); });
  return Longest == RoundRobin.end() ? nullptr : &*Longest;
}

const waiting_request *rank_queue::last(steady_time Now) const {
  const organisation_queue *Longest = longest();
  return Longest ? &Longest->last(Now) : nullptr;
}

std::size_t rank_queue::count(std::string_view Organisation) const {
  auto Found = std::ranges::find(RoundRobin, Organisation,
                                 &organisation_queue::Organisation);
  return Found == RoundRobin.end() ? 0 : Found->Requests.size();
}

std::size_t rank_queue::ahead(std::string_view Organisation) const {
  std::size_t OwnCount = count(Organisation);
  // Each round serves one request of every organisation.
  auto Served = [&](const organisation_queue &Queue) {
    return Queue.Organisation == Organisation
               ? OwnCount
               : std::min(Queue.Requests.size(), OwnCount + 1);
  };
  return std::transform_reduce(RoundRobin.begin(), RoundRobin.end(),
                               std::size_t{0}, std::plus{}, Served);
}

std::optional<waiting_request> rank_queue::push(waiting_request Request,
                                                steady_time Now) {
  queueOf(Request.Organisation).Requests.push_back(std::move(Request));
  if (++Count <= Limit)
    return std::nullopt;
  waiting_request Dropped = *last(Now);
  remove(Dropped.Id);
  return Dropped;
}

void rank_queue::pushFront(waiting_request Request) {
  queueOf(Request.Organisation).Requests.push_front(std::move(Request));
  ++Count;
}

const waiting_request *rank_queue::front(steady_time Now) const {
  if (RoundRobin.empty())
    return nullptr;
  const organisation_queue &Next = RoundRobin.front();
  return Next.servesNewestFirst(Now) ? &Next.Requests.back()
                                     : &Next.Requests.front();
}

waiting_request rank_queue::pop(steady_time Now) {
  organisation_queue Next = std::move(RoundRobin.front());
  RoundRobin.pop_front();
  bool Newest = Next.servesNewestFirst(Now);
  waiting_request Request =
      std::move(Newest ? Next.Requests.back() : Next.Requests.front());
  if (Newest)
    Next.Requests.pop_back();
  else
    Next.Requests.pop_front();
  --Count;
  if (!Next.Requests.empty())
    RoundRobin.push_back(std::move(Next));
  return Request;
}

bool rank_queue::remove(request_id Id) {
  std::size_t Removed = 0;
  for (organisation_queue &Queue : RoundRobin)
    Removed += std::erase_if(
        Queue.Requests, [&](const waiting_request &R) { return R.Id == Id; });
  Count -= Removed;
  dropEmpty();
  return Removed != 0;
}

std::vector<waiting_request> rank_queue::takeExpired(steady_time Now) {
  return takeIf([&](const waiting_request &Request) {
    return Now + Request.UsualTime >= Request.Deadline;
  });
}

} // namespace endiverail

#pragma once

#include "admission/retry_allotment.h"
#include "placement/cost_curve.h"
#include "request/caller_request.h"

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <deque>
#include <functional>
#include <iterator>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A request that is queued for a slot.
struct waiting_request {
  request_id Id = 0;
  rank Rank = rank::Normal;
  bool Bulk = false;
  bool Idempotent = false;
  std::string Organisation;
  steady_time Arrived;
  /// Time from the arrival within which an answer counts as in time.
  milliseconds Target{0};
  steady_time Deadline;
  /// Usual duration of an answer.
  milliseconds UsualTime{0};
  /// Backend servers that have failed the request already.
  std::vector<std::string> Avoid;
  /// Rank of the organisation, if it has one.
  std::optional<rank> OrganisationRank{};
  /// Weight of the organisation's share of the room; its quota, if it has one.
  double OrganisationWeight = 1;
  /// What the request is expected to cost a server, if that is estimated.
  cost_estimate Cost{};

  precedence precedenceOf() const {
    return precedence::of(OrganisationRank, Rank);
  }
  /// The claim to be sent again now.
  retry_claim claimAt(steady_time Now) const {
    return {precedenceOf(), Now + UsualTime <= Arrived + Target};
  }
};

/// Queue for the requests of one rank, served round-robin by organisation, so
/// that a flood from one organisation delays that organisation first. An
/// organisation whose oldest request has waited for more than half of its
/// target time is served newest first (LIFO): in FIFO order all of its requests
/// would be late.
class rank_queue {
public:
  explicit rank_queue(std::size_t Limit) : Limit(Limit) {}

  /// Adds a request. If the queue is full, removes and returns the request that
  /// would be served last of the organisation with the most queued requests.
  std::optional<waiting_request> push(waiting_request Request, steady_time Now);

  /// Puts back a request that has been taken before, ahead of the others of its
  /// organisation.
  void pushFront(waiting_request Request);

  /// The next request, or nullptr if the queue is empty.
  const waiting_request *front(steady_time Now) const;

  /// Removes and returns the next request; the queue must not be empty.
  waiting_request pop(steady_time Now);

  /// Number of queued requests that are served before another one of the
  /// organisation.
  std::size_t ahead(std::string_view Organisation) const;

  /// Number of queued requests of the organisation.
  std::size_t count(std::string_view Organisation) const;

  /// The request that would be served last, which is one of the organisation
  /// with the most queued requests; nullptr if the queue is empty.
  const waiting_request *last(steady_time Now) const;

  /// Removes the request; returns false if it is not queued.
  bool remove(request_id Id);

  /// Removes the requests that can no longer be answered in time.
  std::vector<waiting_request> takeExpired(steady_time Now);

  /// Removes and returns the requests for which \p Holds.
  template <std::predicate<const waiting_request &> Predicate>
  std::vector<waiting_request> takeIf(Predicate Holds) {
    std::vector<waiting_request> Taken;
    for (organisation_queue &Queue : RoundRobin) {
      auto FirstTaken = std::stable_partition(
          Queue.Requests.begin(), Queue.Requests.end(), std::not_fn(Holds));
      std::move(FirstTaken, Queue.Requests.end(), std::back_inserter(Taken));
      Queue.Requests.erase(FirstTaken, Queue.Requests.end());
    }
    Count -= Taken.size();
    dropEmpty();
    return Taken;
  }

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  void setLimit(std::size_t NewLimit) { Limit = NewLimit; }

private:
  struct organisation_queue {
    std::string Organisation;
    std::deque<waiting_request> Requests;

    bool servesNewestFirst(steady_time Now) const;
    const waiting_request &last(steady_time Now) const;
  };

  const organisation_queue *longest() const;
  organisation_queue &queueOf(const std::string &Organisation);
  void dropEmpty();

  std::size_t Limit;
  std::size_t Count = 0;
  /// The organisations with queued requests; the first one is served next.
  std::deque<organisation_queue> RoundRobin;
};

} // namespace endiverail

#pragma once

#include "request/caller_request.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// A request that waits for a slot.
struct waiting_request {
  request_id Id = 0;
  rank Rank = rank::Normal;
  bool Bulk = false;
  bool Idempotent = false;
  std::string Organisation;
  steady_time Arrived;
  /// When an answer counts as in time, from the arrival on.
  milliseconds Target{0};
  steady_time Deadline;
  /// Time that an answer usually takes.
  milliseconds UsualTime{0};
  /// Backend servers that have failed the request already.
  std::vector<std::string> Avoid;
};

/// Requests of one rank, served in turn by organisation, so that a flood from
/// one organisation delays that organisation first. While an organisation's
/// oldest request has waited for half of its target, its newest one goes first:
/// with first come first served, all of them would be late.
class rank_queue {
public:
  explicit rank_queue(std::size_t Limit) : Limit(Limit) {}

  /// Adds a request. When the queue is full, the request of the organisation
  /// with the most waiting ones that would be served last leaves and is
  /// returned.
  std::optional<waiting_request> push(waiting_request Request, steady_time Now);

  /// Puts back a request that has waited its turn already.
  void pushFront(waiting_request Request);

  /// The request whose turn it is, or nullptr.
  const waiting_request *front(steady_time Now) const;

  /// Takes the request whose turn it is; the queue is not empty.
  waiting_request pop(steady_time Now);

  /// Removes the request; false when it does not wait here.
  bool remove(request_id Id);

  /// Removes the requests that can no longer be answered in time.
  std::vector<waiting_request> takeExpired(steady_time Now);

  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
  void setLimit(std::size_t NewLimit) { Limit = NewLimit; }

private:
  struct organisation_queue {
    std::string Organisation;
    std::deque<waiting_request> Requests;

    bool servesNewestFirst(steady_time Now) const;
  };

  organisation_queue &queueOf(const std::string &Organisation);
  void dropEmpty();

  std::size_t Limit;
  std::size_t Count = 0;
  /// Whose turn it is stands first. Only organisations with waiting requests.
  std::deque<organisation_queue> RoundRobin;
};

} // namespace endiverail

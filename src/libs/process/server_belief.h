#pragma once

#include "base/time.h"

namespace endiverail {

/// How backend servers fail: spells of seconds in which most requests fail,
/// and single errors between them.
struct failure_terms {
  /// Share of requests that a healthy server fails, and a sick one.
  double WhenWell = 0.015;
  double WhenSick = 0.75;
  /// Mean length of a healthy time and of a spell.
  milliseconds MeanWell{9'000};
  milliseconds MeanSick{3'000};
};

/// Servers that refuse part of their work though they have room.
inline constexpr failure_terms ShedTerms{0.02, 0.5, milliseconds(20'000),
                                         milliseconds(3'000)};

/// The probability that a backend server is in a spell of failures: the filter
/// of a Markov chain with two states, fed by all answers that the fleet has
/// seen. Without answers it returns to the long-term share of sick time.
class server_belief {
public:
  explicit server_belief(failure_terms Terms = {}) : Terms(Terms) {}

  /// An answer was good, or the request failed.
  void observe(bool Failed, steady_time Now);
  /// A request has had no answer for longer than usual: less telling.
  void observeSlow(steady_time Now);

  /// 0 for surely healthy, 1 for surely sick.
  double sick(steady_time Now) const;

  /// The share of sick time that the terms lead to.
  double longTermShare() const;

private:
  void update(double LikelihoodRatio, steady_time Now);

  failure_terms Terms;
  /// A server that has just joined is not known to fail.
  double Sick = 0.02;
  steady_time Updated;
};

} // namespace endiverail

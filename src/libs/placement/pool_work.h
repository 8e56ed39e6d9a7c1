#pragma once

#include "base/time.h"
#include "placement/cost_curve.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace endiverail {

/// What the requests that are placed in a pool cost on average. The requests of
/// other entries, of which only the number is known, are taken to be alike.
class pool_work {
public:
  /// \p Slack is the time, in milliseconds, for which the request could have
  /// been queued.
  void recordStart(const cost_estimate &Estimate, double Slack);
  /// Expected cost of a request, in milliseconds.
  double mean() const { return Mean; }
  /// Time for which requests that cost less than the mean may be queued, in
  /// milliseconds.
  double slackOfShort() const { return SlackOfShort; }

  /// Expected time left of a request that is running at any moment, in
  /// milliseconds; 0 if not known.
  double meanRemaining() const;
  /// Whether the requests are expected to differ so much that their number does
  /// not tell how much work they are.
  bool isMixed() const;

private:
  double Starts = 0;
  double Mean = 0;
  double MeanSquare = 0;
  double SquareOfMeans = 0;
  double ShortStarts = 0;
  double SlackOfShort = 0;
};

/// The requests that this process has placed at one server.
class server_work_left {
public:
  /// \p Begins is when the server is expected to begin with the request.
  void add(std::uint64_t Request, cost_estimate Estimate, steady_time Begins);
  void remove(std::uint64_t Request);
  /// Sum of the expected times left, in milliseconds.
  double remaining(steady_time Now) const;
  std::size_t size() const { return Running.size(); }

private:
  struct running {
    std::uint64_t Request = 0;
    cost_estimate Estimate;
    steady_time Begins;
  };
  std::vector<running> Running;
};

} // namespace endiverail

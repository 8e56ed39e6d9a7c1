#pragma once

#include "base/time.h"
#include "version/rank.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What became of the requests of one row of the table.
struct load_row {
  std::uint64_t Sent = 0;
  std::uint64_t Done = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  /// Answers that are not the request's own, whole answer.
  std::uint64_t Wrong = 0;
  /// Requests that are not idempotent and ran more than once.
  std::uint64_t Doubled = 0;
  /// Told "not run", yet run.
  std::uint64_t FalseNotRun = 0;
  std::vector<microseconds> DoneTimes;
  std::map<std::string, std::uint64_t, std::less<>> Errors;
};

struct load_report {
  per_rank<load_row> Fleet;
  /// The same kinds of work sent straight to backend servers.
  load_row Direct;
  /// Work through the fleet of the kinds that were also sent directly.
  std::vector<microseconds> ComparedTimes;
  double Seconds = 0;

  bool clean() const;
  /// Milliseconds that the fleet adds at that share of the requests.
  double addedMilliseconds(double Share) const;
  /// A table for people.
  std::string table() const;
  std::string json() const;
};

/// The value below which \p Share of the times lie, in milliseconds; 0 for
/// none.
double quantileMilliseconds(std::vector<microseconds> Times, double Share);

} // namespace endiverail

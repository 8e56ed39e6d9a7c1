#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "version/fleet_view.h"
#include "version/rank.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// One kind of work that the load consists of.
struct planned_work {
  std::string Service;
  std::string Name;
  std::string Method;
  /// "{n}" stands for the request's number.
  std::string Target;
  rank Rank = rank::Normal;
  bool Idempotent = true;
  /// Part of the load, against the other kinds.
  std::uint64_t Weight = 1;
  std::size_t AnswerBytes = 200;
  std::size_t BodyBytes = 0;
  std::size_t Organisations = 10;
  milliseconds Timeout{5'000};
};

/// What a load run does. docs/LOAD.md describes the file.
struct load_plan {
  std::vector<endpoint_text> Daemons;
  endpoint_text Platform;
  /// Requests a second, in all.
  std::uint64_t Rate = 100;
  std::uint64_t Seconds = 10;
  std::uint64_t Seed = 1;
  /// Share of the idempotent work that goes straight to backend servers, for
  /// comparison.
  std::uint64_t DirectPercent = 0;
  /// How often a caller sends a keyed request again when it was told
  /// "unknown" or "not run".
  std::uint64_t Resends = 2;
  std::vector<planned_work> Work;
};

/// Reads and checks a plan file. Fails with BadSettings.
result<load_plan> readLoadPlan(std::string_view FileName,
                               std::string_view Text);

} // namespace endiverail

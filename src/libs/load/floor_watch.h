#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "version/fleet_view.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What the daemons of a fleet say of one service at about one time.
struct service_sample {
  std::string Service;
  /// The least of the floors that are in force anywhere.
  std::size_t Floor = 0;
  std::size_t PoolSize = 0;
  /// Ejected by whichever daemon; sorted.
  std::vector<endpoint_text> Ejected;
};

/// The tightest moment of one service.
struct floor_row {
  std::string Service;
  std::size_t Samples = 0;
  std::size_t MostEjected = 0;
  /// Ejections that were left before the floor, at the least; negative when
  /// capacity was below it.
  std::ptrdiff_t LeastMargin = 0;
};

/// Checks from outside that a fleet's ejections leave the floor alone. The
/// daemons are asked one after another, so only backend servers that two
/// samples in a row call ejected count: those were ejected together at the
/// time between them.
class floor_watch {
public:
  /// Takes a sample of all services.
  void note(std::span<const service_sample> Sample);

  std::span<const floor_row> rows() const { return Rows; }
  bool clean() const;
  std::string table() const;

private:
  floor_row &rowOf(const service_sample &Sample);

  std::vector<service_sample> Last;
  std::vector<floor_row> Rows;
};

/// Reads a daemon's status page into \p Sample. Fails with BadRecord when it
/// is none.
result<void> addStatus(std::string_view Status,
                       std::vector<service_sample> &Sample);

/// Watches a fleet from outside for \p Time.
floor_watch watchFloor(std::span<const endpoint_text> Daemons,
                       milliseconds Time);

} // namespace endiverail

#pragma once

#include "base/error_kind.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// An event of any process, as it was gathered.
struct gathered_event {
  std::int64_t WallMilliseconds = 0;
  std::uint64_t Counter = 0;
  std::string Process;
  std::string Kind;
  std::string Service;
  std::string Subject;
  std::string Detail;
};

/// Which events are wanted; an empty text stands for any.
struct event_filter {
  std::string Service;
  std::string Kind;
  std::string Process;
  /// Milliseconds since the Unix epoch.
  std::int64_t From = 0;
};

/// Events of all daemons that answer, in the order of hybrid logical time.
/// \p Unreachable takes those that do not answer.
std::vector<gathered_event>
gatherTimeLine(std::span<const endpoint_text> Daemons,
               const event_filter &Filter,
               std::vector<endpoint_text> &Unreachable);

std::string timeLineText(std::span<const gathered_event> Events);
std::string timeLineJson(std::span<const gathered_event> Events);

/// One self-contained page with a lane for each process.
std::string timeLineHtml(std::span<const gathered_event> Events);

} // namespace endiverail

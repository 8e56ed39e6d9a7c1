#pragma once

#include <nlohmann/json.hpp>

#include <string_view>
#include <utility>

namespace endiverail {

enum class event_level { Debug, Info, Warning, Error };

/// One structured line of a process's log: a JSON object with the time, the
/// level, the event's name and its fields. It is written when the object ends.
/// docs/OPERATIONS.md lists the events and their fields.
class event_line {
public:
  explicit event_line(std::string_view Event,
                      event_level Level = event_level::Info);
  event_line(const event_line &) = delete;
  event_line &operator=(const event_line &) = delete;
  ~event_line();

  /// Adds a field. Text that is no UTF-8 is written with replacements.
  template <typename Value>
  event_line &with(std::string_view Name, Value &&Of) {
    if (Wanted)
      Fields[std::string(Name)] = std::forward<Value>(Of);
    return *this;
  }

private:
  event_level Level;
  /// Whether the log takes lines of this level.
  bool Wanted;
  nlohmann::ordered_json Fields;
};

/// Sends all lines to standard output from a thread of their own. A reader
/// that stops reading never blocks the process: the oldest lines that wait are
/// dropped and counted.
void startEventLines();

/// Lines that were dropped since the start.
std::size_t droppedEventLines();

} // namespace endiverail

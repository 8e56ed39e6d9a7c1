#pragma once

#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail::test {

/// Collects the event lines that are written during its life.
class event_capture {
public:
  explicit event_capture(spdlog::level::level_enum Level = spdlog::level::debug)
      : Previous(spdlog::default_logger()) {
    auto Logger = std::make_shared<spdlog::logger>(
        "capture", std::make_shared<spdlog::sinks::ostream_sink_mt>(Text));
    Logger->set_pattern("%v");
    Logger->set_level(Level);
    spdlog::set_default_logger(std::move(Logger));
  }
  event_capture(const event_capture &) = delete;
  event_capture &operator=(const event_capture &) = delete;
  ~event_capture() { spdlog::set_default_logger(Previous); }

  /// The lines of \p Event in their order.
  std::vector<nlohmann::json> lines(std::string_view Event) const {
    std::vector<nlohmann::json> Found;
    std::istringstream Lines(Text.str());
    for (std::string Line; std::getline(Lines, Line);)
      if (auto Fields = nlohmann::json::parse(Line); Fields["event"] == Event)
        Found.push_back(std::move(Fields));
    return Found;
  }

private:
  std::ostringstream Text;
  std::shared_ptr<spdlog::logger> Previous;
};

} // namespace endiverail::test

#include "log/event_line.h"

#include <spdlog/async.h>
#include <spdlog/fmt/chrono.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

namespace endiverail {
namespace {

/// Lines that may wait for the reader: about 2 MB.
constexpr std::size_t MostWaiting = 8'192;

std::string_view nameOf(event_level Level) {
  switch (Level) {
  case event_level::Debug:
    return "debug";
  case event_level::Info:
    return "info";
  case event_level::Warning:
    return "warning";
  case event_level::Error:
    break;
  }
  return "error";
}

spdlog::level::level_enum levelOf(event_level Level) {
  switch (Level) {
  case event_level::Debug:
    return spdlog::level::debug;
  case event_level::Info:
    return spdlog::level::info;
  case event_level::Warning:
    return spdlog::level::warn;
  case event_level::Error:
    break;
  }
  return spdlog::level::err;
}

std::string timeText() {
  using namespace std::chrono;
  auto Now = system_clock::now();
  auto Milliseconds =
      duration_cast<milliseconds>(Now.time_since_epoch()) % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(system_clock::to_time_t(Now)),
                     Milliseconds.count());
}

} // namespace

event_line::event_line(std::string_view Event, event_level Level)
    : Level(Level), Wanted(spdlog::should_log(levelOf(Level))) {
  if (!Wanted)
    return;
  Fields["time"] = timeText();
  Fields["level"] = nameOf(Level);
  Fields["event"] = Event;
}

event_line::~event_line() {
  if (!Wanted)
    return;
  spdlog::log(levelOf(Level), "{}",
              Fields.dump(-1, ' ', false,
                          nlohmann::ordered_json::error_handler_t::replace));
}

void startEventLines() {
  spdlog::init_thread_pool(MostWaiting, 1);
  auto Logger = std::make_shared<spdlog::async_logger>(
      "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
      spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
  Logger->set_pattern("%v");
  Logger->set_level(spdlog::get_level());
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(Logger));
}

std::size_t droppedEventLines() {
  auto Pool = spdlog::thread_pool();
  return Pool ? Pool->overrun_counter() : 0;
}

} // namespace endiverail

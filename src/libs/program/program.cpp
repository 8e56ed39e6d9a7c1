#include "program/program.h"

#include <gflags/gflags.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <poll.h>

#include <csignal>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <iterator>

DEFINE_string(log_level, "info", "debug, info, warn, error or off");
DEFINE_bool(log_json, false, "write log lines as JSON");

namespace endiverail {
namespace {

constexpr const char *JsonPattern =
    R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","thread":%t,"text":"%v"})";
constexpr const char *TextPattern = "%Y-%m-%d %H:%M:%S.%e %l %v";

sigset_t endSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  return Set;
}

sigset_t heldSignals() {
  sigset_t Set = endSignals();
  sigaddset(&Set, SIGHUP);
  return Set;
}

} // namespace

std::vector<std::string> startProgram(int ArgumentCount, char **Arguments,
                                      std::string_view Usage) {
  gflags::SetUsageMessage(std::string(Usage));
  gflags::SetVersionString(std::string(Version));
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  spdlog::set_default_logger(spdlog::stderr_logger_mt("endiverail"));
  spdlog::set_pattern(FLAGS_log_json ? JsonPattern : TextPattern);
  spdlog::set_level(spdlog::level::from_str(FLAGS_log_level));
  return {Arguments + 1, Arguments + ArgumentCount};
}

result<std::string> readFile(const std::string &Name) {
  std::ifstream File(Name, std::ios::binary);
  if (!File)
    return fail(error_kind::BadSettings, Name + ": can't be read");
  return std::string(std::istreambuf_iterator<char>(File), {});
}

void holdSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Set = heldSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
}

void pauseFor(milliseconds Time) {
  poll(nullptr, 0, static_cast<int>(Time.count()));
}

void waitForEnd() {
  sigset_t Set = endSignals();
  int Signal = 0;
  sigwait(&Set, &Signal);
}

std::optional<process_signal> waitForSignal(milliseconds Longest) {
  constexpr std::int64_t MillisecondsPerSecond = 1'000;
  constexpr std::int64_t NanosecondsPerMillisecond = 1'000'000;
  sigset_t Set = heldSignals();
  timespec Time{};
  Time.tv_sec = Longest.count() / MillisecondsPerSecond;
  Time.tv_nsec =
      Longest.count() % MillisecondsPerSecond * NanosecondsPerMillisecond;
  int Signal = sigtimedwait(&Set, nullptr, &Time);
  if (Signal < 0)
    return std::nullopt;
  return Signal == SIGHUP ? process_signal::ReadSettings : process_signal::End;
}

} // namespace endiverail

#include "daemon/proxy_daemon.h"
#include "program/program.h"

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <iostream>

using namespace endiverail;

DEFINE_string(settings, "", "the daemon's settings file (JSON)");
DEFINE_bool(check, false, "check the settings file and end");

namespace {

constexpr std::string_view Usage =
    "endiveraild --settings FILE [--check]\n\n"
    "The proxy daemon: one on each entry host. SIGTERM ends it gracefully.";

result<exit_code> run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "endiveraild: --settings FILE is needed; see --help\n";
    return exit_code::Usage;
  }
  BOOST_LEAF_AUTO(Text, readFile(FLAGS_settings));
  BOOST_LEAF_AUTO(Settings, readDaemonSettings(FLAGS_settings, Text));
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": valid\n";
    return exit_code::Success;
  }
  holdSignals();
  BOOST_LEAF_AUTO(Daemon, proxy_daemon::create(Settings));
  spdlog::info("daemon: serves on {}", Settings.Address);
  waitForEnd();
  Daemon->drain();
  return exit_code::Success;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  startProgram(ArgumentCount, Arguments, Usage);
  return static_cast<int>(handleFailure(run, [](const failure &Failure) {
    std::cerr << Failure.Detail << '\n';
    return exit_code::Failure;
  }));
}

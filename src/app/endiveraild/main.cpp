#include "daemon/proxy_daemon.h"
#include "daemon/store_daemon.h"
#include "log/event_line.h"
#include "platform/edge.h"
#include "program/program.h"

#include <gflags/gflags.h>
#include <iostream>
#include <malloc.h>

using namespace endiverail;

DEFINE_string(settings, "", "the daemon's settings file (JSON)");
DEFINE_bool(platform, false,
            "take configuration and backend servers from the platform's store");
DEFINE_bool(check, false, "check the settings file and end");

namespace {

constexpr std::string_view Usage =
    "endiveraild --settings FILE [--platform] [--check]\n\n"
    "The proxy daemon: one on each entry host. SIGTERM ends it gracefully.";

exit_code reportValid() {
  std::cout << FLAGS_settings << ": valid\n";
  return exit_code::Success;
}

/// How often the settings file is looked at: it may change without a signal.
constexpr milliseconds SettingsPause{2'000};

/// Takes over what has changed in the settings file since \p Known was read.
template <typename Daemon>
void readSettingsAgain(Daemon &Running, std::string &Known) {
  handleFailure(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(Text, readFile(FLAGS_settings));
        if (Text == Known)
          return {};
        Known = Text;
        BOOST_LEAF_AUTO(Settings,
                        readStoreDaemonSettings(FLAGS_settings, Text));
        settings_change Change = Running.reload(Settings);
        event_line("settings_read")
            .with("applied", Change.Applied)
            .with("needs_start", Change.NeedsStart);
        return {};
      },
      [](const failure &Failure) {
        event_line("settings_refused", event_level::Warning)
            .with("detail", Failure.Detail);
      });
}

/// Runs a daemon from its start to its graceful end; \p WaitForEnd gets it in
/// between.
template <typename Daemon, typename Settings, typename Wait>
result<exit_code> serve(const Settings &With,
                        const endpoint_text &CallerAddress, Wait &&WaitForEnd) {
  BOOST_LEAF_AUTO(Running, Daemon::create(With));
  event_line("started")
      .with("daemon", With.Id)
      .with("version", Version)
      .with("callers", CallerAddress);
  WaitForEnd(*Running);
  Running->drain();
  event_line("ended").with("dropped_lines", droppedEventLines());
  return exit_code::Success;
}

result<exit_code> run() {
  if (FLAGS_settings.empty()) {
    std::cerr << "endiveraild: --settings FILE is needed; see --help\n";
    return exit_code::Usage;
  }
  BOOST_LEAF_AUTO(Text, readFile(FLAGS_settings));
  // Before any thread starts, that of the log lines included.
  holdSignals();
  if (FLAGS_platform) {
    BOOST_LEAF_AUTO(Settings, readStoreDaemonSettings(FLAGS_settings, Text));
    if (FLAGS_check)
      return reportValid();
    startEventLines();
    return serve<store_daemon<platform::edge>>(
        Settings, Settings.CallerAddress, [&](auto &Running) {
          while (waitForSignal(SettingsPause) != process_signal::End)
            readSettingsAgain(Running, Text);
        });
  }
  BOOST_LEAF_AUTO(Settings, readDaemonSettings(FLAGS_settings, Text));
  if (FLAGS_check)
    return reportValid();
  return serve<proxy_daemon>(Settings, Settings.Address,
                             [](auto &) { waitForEnd(); });
}

/// Gives the memory of large bodies and answers back once they are freed. By
/// default glibc raises its threshold with each one, so that they come to lie
/// among others and are kept.
void limitKeptMemory() {
  constexpr int LargeBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, LargeBytes);
  mallopt(M_TRIM_THRESHOLD, LargeBytes);
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  limitKeptMemory();
  startProgram(ArgumentCount, Arguments, Usage);
  return static_cast<int>(handleFailure(run, [](const failure &Failure) {
    std::cerr << Failure.Detail << '\n';
    return Failure.Kind == error_kind::BadSettings ? exit_code::Usage
                                                   : exit_code::Failure;
  }));
}

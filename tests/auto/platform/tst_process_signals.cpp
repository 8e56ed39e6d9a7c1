#include "test_ports.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace endiverail::test;

extern char **environ;

namespace {

/// A daemon as a process of its own, whose store nobody answers for.
class daemon_process {
public:
  daemon_process()
      : File(std::filesystem::temp_directory_path() /
             ("signals-" + std::to_string(getpid()) + ".json")) {
    auto Address = [] { return "127.0.0.1:" + std::to_string(freePort()); };
    std::ofstream(File) << nlohmann::json{{"id", "d"},
                                          {"data_centre", "z"},
                                          {"region", "r"},
                                          {"caller_address", Address()},
                                          {"ready_address", Address()},
                                          {"directory_address", Address()},
                                          {"peer_address", Address()},
                                          {"store", Address()},
                                          {"seeds", nlohmann::json::array()},
                                          {"grace_s", 3},
                                          {"fleet_secret", "secret"}};
    int Pipe[2];
    if (pipe(Pipe) != 0)
      throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&Actions, Pipe[0]);
    std::string Settings = "--settings=" + File.string();
    std::vector<std::string> Words{ENDIVERAILD, "--platform", Settings};
    std::vector<char *> Arguments;
    for (std::string &Word : Words)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    int Failed = posix_spawn(&Process, ENDIVERAILD, &Actions, nullptr,
                             Arguments.data(), environ);
    posix_spawn_file_actions_destroy(&Actions);
    close(Pipe[1]);
    Lines.reset(fdopen(Pipe[0], "r"));
    if (Failed != 0)
      throw std::runtime_error("the daemon can't be started");
  }

  ~daemon_process() {
    if (Process > 0) {
      kill(Process, SIGKILL);
      waitpid(Process, nullptr, 0);
    }
    std::filesystem::remove(File);
  }

  /// Whether a line of that event comes before the process ends.
  bool writes(std::string_view Event) {
    std::vector<char> Line(4096);
    std::string Sought = "\"event\":\"" + std::string(Event) + "\"";
    while (fgets(Line.data(), static_cast<int>(Line.size()), Lines.get()))
      if (std::string_view(Line.data()).find(Sought) != std::string_view::npos)
        return true;
    return false;
  }

  void send(int Signal) const { kill(Process, Signal); }

  /// How the process has ended, as waitpid() tells it.
  int end() {
    int Status = 0;
    waitpid(Process, &Status, 0);
    Process = -1;
    return Status;
  }

private:
  struct close_file {
    void operator()(FILE *Open) const { fclose(Open); }
  };

  std::filesystem::path File;
  pid_t Process = -1;
  std::unique_ptr<FILE, close_file> Lines;
};

} // namespace

TEST_CASE("a planned stop is not cut short by further signals") {
  auto Signal = GENERATE(SIGHUP, SIGTERM, SIGINT);
  INFO("signal " << Signal);
  daemon_process Daemon;
  REQUIRE(Daemon.writes("started"));
  Daemon.send(SIGHUP);
  Daemon.send(SIGTERM);
  REQUIRE(Daemon.writes("draining"));
  Daemon.send(Signal);
  CHECK(Daemon.writes("ended"));
  int Status = Daemon.end();
  CHECK_FALSE(WIFSIGNALED(Status));
  CHECK(WEXITSTATUS(Status) == 0);
}

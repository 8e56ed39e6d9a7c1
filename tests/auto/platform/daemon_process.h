#pragma once

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

extern char **environ;

namespace endiverail::test {

/// A daemon as a process of its own.
class daemon_process {
public:
  explicit daemon_process(const nlohmann::json &Settings)
      : File(std::filesystem::temp_directory_path() /
             ("daemon-" + std::to_string(getpid()) + ".json")) {
    std::ofstream(File) << Settings;
    int Pipe[2];
    if (pipe(Pipe) != 0)
      throw std::runtime_error("no pipe");
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_adddup2(&Actions, Pipe[1], STDOUT_FILENO);
    posix_spawn_file_actions_addclose(&Actions, Pipe[0]);
    std::vector<std::string> Words{ENDIVERAILD, "--platform",
                                   "--settings=" + File.string()};
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

  pid_t id() const { return Process; }

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

} // namespace endiverail::test

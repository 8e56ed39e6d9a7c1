#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <spdlog/spdlog.h>

#include <csignal>

int main(int ArgumentCount, char **Arguments) {
  std::signal(SIGPIPE, SIG_IGN);
  spdlog::set_level(spdlog::level::off);
  return Catch::Session().run(ArgumentCount, Arguments);
}

#include "program/program.h"
#include "standin/standin_process.h"

#include <spdlog/spdlog.h>

#include <iostream>

using namespace endiverail;

namespace {

constexpr std::string_view Usage =
    "endiverail-standin SCENARIO\n\n"
    "Plays the platform (log service, host list) and backend servers with\n"
    "scripted faults. SCENARIO is a JSON file; docs/STANDIN.md describes it.";

result<exit_code> run(const std::vector<std::string> &Words) {
  if (Words.size() != 1) {
    std::cerr << "endiverail-standin: one SCENARIO is needed; see --help\n";
    return exit_code::Usage;
  }
  BOOST_LEAF_AUTO(Text, readFile(Words.front()));
  BOOST_LEAF_AUTO(Scenario, readScenario(Words.front(), Text));
  holdSignals();
  BOOST_LEAF_AUTO(Process, standin_process::create(Scenario));
  spdlog::info("standin: plays {} backend servers, platform on {}",
               Scenario.Servers.size(), Scenario.Platform);
  waitForEnd();
  return exit_code::Success;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Words = startProgram(ArgumentCount, Arguments, Usage);
  return static_cast<int>(handleFailure([&] { return run(Words); },
                                        [](const failure &Failure) {
                                          std::cerr << Failure.Detail << '\n';
                                          return exit_code::Failure;
                                        }));
}

#include "experiment/experiments.h"
#include "load/deployment.h"
#include "load/floor_watch.h"
#include "load/load_run.h"
#include "program/program.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>

using namespace endiverail;

DEFINE_bool(json, false, "print the report as JSON");
DEFINE_uint64(daemons, 6, "deployment: how many daemons");
DEFINE_uint32(first_port, 20'000, "deployment: first port on loopback");
DEFINE_uint64(rate, 300, "deployment: requests a second of its plan");
DEFINE_uint64(seed, 1, "experiment: seed of the random numbers");
DEFINE_uint64(runs, 100, "experiment detection: runs of each case");
DEFINE_string(only, "",
              "experiment detection: only cases with this in their names");
DEFINE_double(server_hours, 100, "experiment false-ejections: length");
DEFINE_string(plot, "", "experiment: also write a bar chart (SVG)");
DEFINE_uint64(plot_column, 0, "experiment: which column to plot");
DEFINE_uint64(seconds, 8, "length of a deployment's plan, or of a watch");

namespace {

constexpr std::string_view Usage =
    "endiverail-load COMMAND ...\n\n"
    "  run PLAN              sends the load of a plan file, checks each "
    "answer\n"
    "                        and prints a table by rank; exit code 1 when an\n"
    "                        answer was wrong or a request ran twice\n"
    "  experiment NAME       prints a measurement: detection, "
    "false-ejections,\n"
    "                        flood or capacity\n"
    "  watch PLAN            watches the plan's daemons for --seconds and "
    "prints how\n"
    "                        near ejections came to each floor; exit code 1 "
    "when\n"
    "                        they went below\n"
    "  deployment NAME DIR   writes all files to run a deployment on "
    "loopback;\n"
    "                        NAME is zbytky or vezilica";

result<exit_code> runPlan(const std::string &FileName) {
  BOOST_LEAF_AUTO(Text, readFile(FileName));
  BOOST_LEAF_AUTO(Plan, readLoadPlan(FileName, Text));
  BOOST_LEAF_AUTO(Report, runLoad(Plan));
  std::cout << (FLAGS_json ? Report.json() : Report.table());
  return Report.clean() ? exit_code::Success : exit_code::Failure;
}

result<exit_code> watchPlan(const std::string &FileName) {
  BOOST_LEAF_AUTO(Text, readFile(FileName));
  BOOST_LEAF_AUTO(Plan, readLoadPlan(FileName, Text));
  floor_watch Watch =
      watchFloor(Plan.Daemons, std::chrono::seconds(FLAGS_seconds));
  std::cout << Watch.table();
  return Watch.clean() ? exit_code::Success : exit_code::Failure;
}

result<exit_code> writeDeployment(const std::string &Name,
                                  const std::filesystem::path &Folder) {
  deployment_options Options{FLAGS_daemons,
                             static_cast<std::uint16_t>(FLAGS_first_port),
                             FLAGS_rate, FLAGS_seconds};
  BOOST_LEAF_AUTO(Files, makeDeployment(Name, Options));
  for (const deployment_file &File : Files) {
    std::filesystem::path Path = Folder / File.Name;
    std::filesystem::create_directories(Path.parent_path());
    std::ofstream(Path) << File.Content;
  }
  return exit_code::Success;
}

result<exit_code> runExperiment(const std::string &Name) {
  experiment_table Table;
  if (Name == "detection")
    Table = detectionExperiment(FLAGS_seed, FLAGS_runs, FLAGS_only);
  else if (Name == "false-ejections")
    Table = falseEjectionExperiment(FLAGS_seed, FLAGS_server_hours);
  else if (Name == "flood")
    Table = floodExperiment(FLAGS_seed);
  else if (Name == "capacity")
    Table = capacityExperiment();
  else
    return fail(error_kind::BadSettings,
                "no experiment is called \"" + Name + "\"");
  std::cout << (FLAGS_json ? Table.json() : Table.text());
  if (!FLAGS_plot.empty())
    std::ofstream(FLAGS_plot) << Table.svg(FLAGS_plot_column);
  return exit_code::Success;
}

result<exit_code> run(const std::vector<std::string> &Words) {
  if (Words.size() == 2 && Words[0] == "experiment")
    return runExperiment(Words[1]);
  if (Words.size() == 2 && Words[0] == "run")
    return runPlan(Words[1]);
  if (Words.size() == 2 && Words[0] == "watch")
    return watchPlan(Words[1]);
  if (Words.size() == 3 && Words[0] == "deployment")
    return writeDeployment(Words[1], Words[2]);
  std::cerr << Usage << '\n';
  return exit_code::Usage;
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

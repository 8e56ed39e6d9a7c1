#include "base/text.h"
#include "http/blocking_client.h"
#include "operator/fleet_file.h"
#include "operator/publishing.h"
#include "operator/request_story.h"
#include "operator/time_line_view.h"
#include "program/program.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>

using namespace endiverail;

DEFINE_string(fleet, "fleet.json", "the operators' fleet file (JSON)");
DEFINE_string(key, "customer.key", "accept: file with the customer's key");
DEFINE_string(author, "", "publish: who proposes the change");
DEFINE_string(reason, "", "reject: why");
DEFINE_string(format, "text",
              "timeline: text, json or html; explain: text or json");
DEFINE_string(service, "", "timeline: events of this service only");
DEFINE_string(kind, "", "timeline: events of this kind only");
DEFINE_string(process, "", "timeline: events of this process only");
DEFINE_int64(since_ms, 0, "timeline: events since this Unix time");
DEFINE_uint64(wait_ms, 0,
              "accept: wait until the change is in force on every daemon");

namespace {

constexpr std::string_view Usage =
    "endiverailctl COMMAND ... [--fleet FILE]\n\n"
    "  check FOLDER         checks the service files below a folder\n"
    "  publish FOLDER       proposes the files that differ from those in "
    "force\n"
    "  accept [SERVICE]     signs the proposals with the customer's key "
    "(--key)\n"
    "  reject SERVICE       refuses the proposals of a service\n"
    "  status               what is proposed, accepted and in force, and "
    "where\n"
    "  addresses SERVICE    which proxies callers of a service should use\n"
    "  timeline             events of all daemons, in order\n"
    "  explain ID FILE...   what daemons' structured logs tell of a request\n"
    "  keygen FILE          writes a new customer key and prints its public "
    "half\n\n"
    "Exit codes: 0 done, 1 refused or failed, 2 wrong use.";

constexpr milliseconds CallTimeout{5'000};
constexpr milliseconds WaitStep{50};

using nlohmann::json;
using words = std::span<const std::string>;

result<fleet_file> loadFleet() {
  BOOST_LEAF_AUTO(Text, readFile(FLAGS_fleet));
  return readFleetFile(FLAGS_fleet, Text);
}

result<configuration_state> loadFold(const fleet_file &Fleet) {
  log_client Log(Fleet.LogService);
  BOOST_LEAF_AUTO(Entries, Log.readAll());
  return foldRecords(Entries, Fleet.CustomerKeys);
}

void printMistakes(const checked_folder &Checked) {
  for (const std::string &Mistake : Checked.Mistakes)
    std::cerr << Mistake << '\n';
}

result<exit_code> check(words Words) {
  checked_folder Checked = checkFolder(Words[0]);
  printMistakes(Checked);
  std::cout << Checked.Files.size() << " valid, " << Checked.Mistakes.size()
            << " with mistakes\n";
  return Checked.Mistakes.empty() ? exit_code::Success : exit_code::Failure;
}

result<exit_code> publish(words Words) {
  checked_folder Checked = checkFolder(Words[0]);
  printMistakes(Checked);
  if (!Checked.Mistakes.empty())
    return exit_code::Failure;
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  BOOST_LEAF_AUTO(ConfigurationState, loadFold(Fleet));
  log_client Log(Fleet.LogService);
  BOOST_LEAF_AUTO(Lines, publishFiles(Checked.Files, ConfigurationState,
                                      FLAGS_author, Log));
  for (const std::string &Line : Lines)
    std::cout << Line << '\n';
  return exit_code::Success;
}

/// Versions in force at a daemon, by service.
result<std::map<std::string, std::uint64_t>>
versionsAt(const endpoint_text &Daemon) {
  BOOST_LEAF_AUTO(Answer,
                  fetch("GET", Daemon, "/endiverail/status", "", CallTimeout));
  json Value = json::parse(Answer.Body, nullptr, false);
  if (!Value.is_object() || !Value.contains("in_force"))
    return fail(error_kind::BadRecord, Daemon + " tells no status");
  std::map<std::string, std::uint64_t> Versions;
  for (const json &Entry : Value["in_force"])
    Versions[Entry["service"]] = Entry["version"].get<std::uint64_t>();
  return Versions;
}

bool inForceEverywhere(const fleet_file &Fleet,
                       const std::map<std::string, std::uint64_t> &Wanted) {
  return std::ranges::all_of(Fleet.Daemons, [&](const endpoint_text &Daemon) {
    return handleFailure(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(Versions, versionsAt(Daemon));
          return std::ranges::all_of(Wanted, [&](const auto &Entry) {
            return Versions[Entry.first] >= Entry.second;
          });
        },
        [](const failure &) { return false; });
  });
}

exit_code waitInForce(const fleet_file &Fleet,
                      const std::map<std::string, std::uint64_t> &Wanted) {
  steady_time Start = steadyNow();
  steady_time Until = Start + milliseconds(FLAGS_wait_ms);
  while (steadyNow() < Until) {
    if (inForceEverywhere(Fleet, Wanted)) {
      std::cout << "in force on all " << Fleet.Daemons.size()
                << " daemons after "
                << std::chrono::duration_cast<milliseconds>(steadyNow() - Start)
                       .count()
                << " ms\n";
      return exit_code::Success;
    }
    pauseFor(WaitStep);
  }
  std::cerr << "not in force on all daemons within " << FLAGS_wait_ms
            << " ms\n";
  return exit_code::Failure;
}

result<exit_code> accept(words Words) {
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  BOOST_LEAF_AUTO(KeyText, readFile(FLAGS_key));
  BOOST_LEAF_AUTO(Customer, signing_key::fromPrivate(
                                KeyText.substr(0, KeyText.find('\n'))));
  BOOST_LEAF_AUTO(ConfigurationState, loadFold(Fleet));
  log_client Log(Fleet.LogService);
  std::map<std::string, std::uint64_t> Accepted;
  exit_code Code = exit_code::Success;
  for (const proposal &Proposal :
       pendingFor(ConfigurationState, Words.empty() ? "" : Words[0])) {
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(
              Record, acceptProposal(Proposal, ConfigurationState, Customer));
          BOOST_LEAF_AUTO(Offset, Log.append(Record));
          std::cout << Record.Definition.Name << ": accepted as version "
                    << Record.Version << " at offset " << Offset << '\n';
          Accepted[Record.Definition.Name] = Record.Version;
          return {};
        },
        [&](const failure &Failure) {
          std::cerr << Failure.Detail << '\n';
          Code = exit_code::Failure;
        });
  }
  if (Accepted.empty() && Code == exit_code::Success)
    std::cout << "nothing is proposed\n";
  if (FLAGS_wait_ms > 0 && !Accepted.empty())
    return waitInForce(Fleet, Accepted);
  return Code;
}

result<exit_code> reject(words Words) {
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  BOOST_LEAF_AUTO(ConfigurationState, loadFold(Fleet));
  log_client Log(Fleet.LogService);
  for (const proposal &Proposal : pendingFor(ConfigurationState, Words[0])) {
    BOOST_LEAF_CHECK(Log.append(rejection{Proposal.Definition.Name,
                                          Proposal.ContentHash, FLAGS_reason}));
    std::cout << Proposal.Definition.Name << ": rejected "
              << Proposal.ContentHash.substr(0, 12) << '\n';
  }
  return exit_code::Success;
}

result<exit_code> status(words) {
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  exit_code Code = exit_code::Success;
  handleFailure(
      [&]() -> result<void> {
        BOOST_LEAF_AUTO(ConfigurationState, loadFold(Fleet));
        for (const auto &[Name, Accepted] : ConfigurationState.inForce())
          std::cout << "accepted  " << Name << " version "
                    << Accepted.Record.Version << ' '
                    << Accepted.Record.ContentHash.substr(0, 12) << '\n';
        for (const proposal &Proposal : ConfigurationState.pending())
          std::cout << "proposed  " << Proposal.Definition.Name << ' '
                    << Proposal.ContentHash.substr(0, 12) << ' '
                    << Proposal.Author << '\n';
        return {};
      },
      [&](const failure &Failure) {
        std::cerr << "log service: " << Failure.Detail << '\n';
        Code = exit_code::Failure;
      });
  for (const endpoint_text &Daemon : Fleet.Daemons)
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Versions, versionsAt(Daemon));
          std::cout << "in force  " << Daemon;
          for (const auto &[Name, Version] : Versions)
            std::cout << ' ' << Name << '=' << Version;
          std::cout << '\n';
          return {};
        },
        [&](const failure &Failure) {
          std::cout << "no answer " << Daemon << ' ' << Failure.Detail << '\n';
          Code = exit_code::Failure;
        });
  return Code;
}

result<exit_code> addresses(words Words) {
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  for (const endpoint_text &Daemon : Fleet.Daemons) {
    auto Told = handleFailure(
        [&]() -> result<std::optional<fetched_answer>> {
          BOOST_LEAF_AUTO(Answer,
                          fetch("GET", Daemon,
                                "/endiverail/addresses?service=" + Words[0], "",
                                CallTimeout));
          return std::optional(std::move(Answer));
        },
        [](const failure &) { return std::optional<fetched_answer>{}; });
    if (!Told || Told->Status == 503)
      continue;
    std::cout << Told->Body;
    return Told->Status == 200 ? exit_code::Success : exit_code::Failure;
  }
  return fail(error_kind::StoreUnavailable, "no daemon answers");
}

result<exit_code> timeLine(words) {
  BOOST_LEAF_AUTO(Fleet, loadFleet());
  std::vector<endpoint_text> Unreachable;
  auto Events = gatherTimeLine(
      Fleet.Daemons, {FLAGS_service, FLAGS_kind, FLAGS_process, FLAGS_since_ms},
      Unreachable);
  for (const endpoint_text &Daemon : Unreachable)
    std::cerr << Daemon << " does not answer; its events are missing\n";
  if (FLAGS_format == "html")
    std::cout << timeLineHtml(Events);
  else if (FLAGS_format == "json")
    std::cout << timeLineJson(Events);
  else
    std::cout << timeLineText(Events);
  return exit_code::Success;
}

result<exit_code> explain(words Words) {
  std::vector<log_text> Logs;
  for (const std::string &Name : Words.subspan(1)) {
    BOOST_LEAF_AUTO(Text, readFile(Name));
    Logs.push_back(
        {std::filesystem::path(Name).filename().string(), std::move(Text)});
  }
  request_story Story = tellStory(Words[0], Logs);
  std::cout << (FLAGS_format == "json" ? storyJson(Story) : storyText(Story));
  return Story.Lines.empty() ? exit_code::Failure : exit_code::Success;
}

result<exit_code> keygen(words Words) {
  if (std::filesystem::exists(Words[0]))
    return fail(error_kind::BadSettings,
                Words[0] + ": is there already; keys are not overwritten");
  BOOST_LEAF_AUTO(Key, signing_key::generate());
  std::ofstream File(Words[0]);
  std::filesystem::permissions(Words[0],
                               std::filesystem::perms::owner_read |
                                   std::filesystem::perms::owner_write);
  File << Key.Private << '\n';
  std::cout << Key.Public << '\n';
  return exit_code::Success;
}

struct command {
  std::string_view Name;
  std::size_t LeastWords;
  std::size_t MostWords;
  result<exit_code> (*Run)(words);
};

constexpr std::array Commands{
    command{"check", 1, 1, check},
    command{"publish", 1, 1, publish},
    command{"accept", 0, 1, accept},
    command{"reject", 1, 1, reject},
    command{"status", 0, 0, status},
    command{"addresses", 1, 1, addresses},
    command{"timeline", 0, 0, timeLine},
    command{"keygen", 1, 1, keygen},
    command{"explain", 2, SIZE_MAX, explain},
};

} // namespace

int main(int ArgumentCount, char **Arguments) {
  auto Words = startProgram(ArgumentCount, Arguments, Usage);
  auto Found = Words.empty()
                   ? Commands.end()
                   : std::ranges::find(Commands, Words[0], &command::Name);
  if (Found == Commands.end() || Words.size() - 1 < Found->LeastWords ||
      Words.size() - 1 > Found->MostWords) {
    std::cerr << Usage << '\n';
    return static_cast<int>(exit_code::Usage);
  }
  return static_cast<int>(
      handleFailure([&] { return Found->Run(words(Words).subspan(1)); },
                    [](const failure &Failure) {
                      std::cerr << "endiverailctl: " << Failure.Detail << '\n';
                      return exit_code::Failure;
                    }));
}

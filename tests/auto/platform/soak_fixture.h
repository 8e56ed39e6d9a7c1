#pragma once

#include "raw_socket.h"
#include "test_ports.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <strings.h>
#include <sys/wait.h>

extern char **environ;

namespace endiverail::test {

using random_bits = std::mt19937_64;

inline std::size_t below(random_bits &Random, std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Random);
}

inline bool oneIn(random_bits &Random, std::size_t Count) {
  return below(Random, Count) == 0;
}

inline void sleepFor(std::size_t Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

/// Value of a field in a head, or nothing.
inline std::string fieldOf(std::string_view Head, std::string_view Name) {
  for (std::size_t At = Head.find("\r\n"); At + 4 < Head.size();
       At = Head.find("\r\n", At + 2)) {
    std::string_view Line = Head.substr(At + 2);
    if (Line.size() <= Name.size() || Line[Name.size()] != ':' ||
        strncasecmp(Line.data(), Name.data(), Name.size()) != 0)
      continue;
    Line = Line.substr(Name.size() + 1, Line.find("\r\n") - Name.size() - 1);
    Line.remove_prefix(std::min(Line.find_first_not_of(' '), Line.size()));
    return std::string(Line);
  }
  return "";
}

enum class copy_kind { None, Whole, Cut };

/// What is played; each value may be set by the environment.
struct soak_options {
  std::size_t Seconds = 15;
  std::uint64_t Seed = 1;
  std::size_t Daemons = 1;
  std::size_t Callers = 32;
  std::size_t Servers = 6;
  copy_kind Copies = copy_kind::Cut;
  /// One in so many requests is left before its answer; callers also read late
  /// and send two requests at once. 0: callers do nothing of this.
  std::size_t LeaveOneIn = 12;
  bool Trouble = false;
  /// Longest of the brief freezes of the first daemon; 0 for none.
  std::size_t FreezeMilliseconds = 0;
  std::string Program = ENDIVERAILD;

  static soak_options ofEnvironment(soak_options Options) {
    auto Read = [](const std::string &Name, auto &Value) {
      if (const char *Text = std::getenv(("ENDIVERAIL_SOAK_" + Name).c_str()))
        std::istringstream(Text) >> Value;
    };
    Read("SECONDS", Options.Seconds);
    Read("SEED", Options.Seed);
    Read("DAEMONS", Options.Daemons);
    Read("CALLERS", Options.Callers);
    Read("SERVERS", Options.Servers);
    Read("LEAVE_ONE_IN", Options.LeaveOneIn);
    Read("FREEZE_MS", Options.FreezeMilliseconds);
    Read("PROGRAM", Options.Program);
    std::string Copies;
    Read("COPIES", Copies);
    if (!Copies.empty())
      Options.Copies = Copies == "none"    ? copy_kind::None
                       : Copies == "whole" ? copy_kind::Whole
                                           : copy_kind::Cut;
    return Options;
  }

  std::string text() const {
    constexpr std::array CopyNames{"none", "whole", "cut"};
    std::ostringstream Text;
    Text << "seed " << Seed << ", " << Seconds << " s, daemons " << Daemons
         << ", callers " << Callers << ", copies "
         << CopyNames[static_cast<std::size_t>(Copies)] << ", leave one in "
         << LeaveOneIn << ", trouble " << Trouble << ", " << Program;
    return Text.str();
  }
};

/// Counts of a run, and what was broken.
class soak_counts {
public:
  void add(const std::string &What, std::size_t Count = 1) {
    std::lock_guard Lock(Mutex);
    Counts[What] += Count;
  }
  void breach(const std::string &What, const std::string &Detail) {
    std::lock_guard Lock(Mutex);
    if (++Breaches[What] <= ShownOfEach)
      Shown += "-- " + What + "\n" + Detail + "\n";
  }
  /// A request that may run once was answered as one that never runs.
  void addPromise(const std::string &Id) {
    std::lock_guard Lock(Mutex);
    Promises.insert(Id);
  }

  std::size_t count(const std::string &What) const {
    std::lock_guard Lock(Mutex);
    auto Found = Counts.find(What);
    return Found == Counts.end() ? 0 : Found->second;
  }
  std::size_t breaches() const {
    std::lock_guard Lock(Mutex);
    std::size_t Sum = 0;
    for (const auto &[What, Count] : Breaches)
      Sum += Count;
    return Sum;
  }
  std::set<std::string> promises() const {
    std::lock_guard Lock(Mutex);
    return Promises;
  }
  std::string table() const {
    std::lock_guard Lock(Mutex);
    std::ostringstream Text;
    for (const auto &[What, Count] : Counts)
      Text << "  " << What << ": " << Count << '\n';
    for (const auto &[What, Count] : Breaches)
      Text << "  BROKEN " << What << ": " << Count << '\n';
    Text << Shown;
    return Text.str();
  }

private:
  static constexpr std::size_t ShownOfEach = 2;

  mutable std::mutex Mutex;
  std::map<std::string, std::size_t> Counts;
  std::map<std::string, std::size_t> Breaches;
  std::set<std::string> Promises;
  std::string Shown;
};

struct given_answer {
  int Status = 0;
  std::string Signature;
};

/// What the servers gave and ran, by identifier.
class answer_ledger {
public:
  /// Names the run by the signature of its answer.
  std::string addRun(const std::string &Id, int Status) {
    std::lock_guard Lock(Mutex);
    std::vector<given_answer> &All = Given[Id];
    All.push_back({Status, "s-" + Id + "-" + std::to_string(All.size())});
    return All.back().Signature;
  }
  std::vector<given_answer> of(const std::string &Id) const {
    std::lock_guard Lock(Mutex);
    auto Found = Given.find(Id);
    return Found == Given.end() ? std::vector<given_answer>{} : Found->second;
  }
  std::size_t runsOf(const std::string &Id) const { return of(Id).size(); }
  std::vector<std::string> unsafeRunTwice() const {
    std::lock_guard Lock(Mutex);
    std::vector<std::string> Ids;
    for (const auto &[Id, All] : Given)
      if (Id.starts_with('a') && All.size() > 1)
        Ids.push_back(Id);
    return Ids;
  }

private:
  mutable std::mutex Mutex;
  std::map<std::string, std::vector<given_answer>> Given;
};

/// The body that belongs to a signature.
inline std::string bodyOf(const std::string &Signature) {
  std::size_t Hash = std::hash<std::string>{}(Signature);
  std::size_t Size = Hash % 16 == 0 ? 100'000 : Hash % 3'000;
  std::string Body = "for " + Signature + " ";
  while (Body.size() < Size)
    Body += Signature;
  return Body;
}

/// The platform's log, whose records change while it is read.
class live_store {
public:
  live_store()
      : Server([this](raw_connection Caller, std::size_t) { serve(Caller); }) {}

  std::string endpoint() const { return Server.endpoint(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value) {
    std::lock_guard Lock(Mutex);
    Topics[Topic].emplace_back(Key, Value);
    Changed.notify_all();
  }
  /// Ends the reads that wait.
  void end() {
    std::lock_guard Lock(Mutex);
    Ending = true;
    Changed.notify_all();
  }

private:
  using record_log = std::vector<std::pair<std::string, std::string>>;

  void serve(raw_connection &Caller) {
    // The connection class throws when nothing comes for a long time.
    try {
      while (true) {
        std::string Head = Caller.readUntil("\r\n\r\n");
        if (Head.empty())
          return;
        std::string Length = fieldOf(Head, "Content-Length");
        std::string Body = Caller.read(Length.empty() ? 0 : std::stoul(Length));
        std::string Answer = answer(Head.substr(0, Head.find(" HTTP/")), Body);
        Caller.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(Answer.size()) + "\r\n\r\n" + Answer);
      }
    } catch (const std::exception &) {
      return;
    }
  }

  static std::string queryOf(const std::string &Call, const std::string &Name) {
    std::size_t At = Call.find(Name + "=");
    return At == std::string::npos
               ? ""
               : Call.substr(At + Name.size() + 1,
                             Call.find('&', At) - At - Name.size() - 1);
  }

  std::string answer(const std::string &Call, std::string_view Body) {
    std::unique_lock Lock(Mutex);
    record_log &Log = Topics[queryOf(Call, "topic")];
    if (Call.starts_with("GET /-/log-newest"))
      return listing(Log);
    if (!Call.starts_with("GET /-/log-read"))
      return append(Log, Body);
    std::string Wait = queryOf(Call, "wait-ms");
    std::size_t From = std::stoul(queryOf(Call, "from"));
    Changed.wait_for(
        Lock, std::chrono::milliseconds(Wait.empty() ? 0 : std::stol(Wait)),
        [&] { return Ending || Log.size() > From; });
    std::string Answer = bigEndian(Log.size(), 8) + bigEndian(0, 8);
    for (std::size_t Offset = From; Offset < Log.size(); ++Offset) {
      const auto &[Key, Value] = Log[Offset];
      Answer += bigEndian(1 + Key.size() + Value.size(), 4) +
                static_cast<char>(Key.size()) + Key + Value;
    }
    return Answer;
  }

  static std::string listing(const record_log &Log) {
    std::map<std::string, std::size_t> Newest;
    for (std::size_t Offset = 0; Offset < Log.size(); ++Offset)
      Newest[Log[Offset].first] = Offset;
    nlohmann::json Listing{{"items", nlohmann::json::array()},
                           {"more", false},
                           {"end", Log.size()}};
    for (const auto &[Key, Offset] : Newest)
      if (!Log[Offset].second.empty())
        Listing["items"].push_back({{"key", Key},
                                    {"value", inBase64(Log[Offset].second)},
                                    {"offset", Offset}});
    return Listing.dump();
  }

  std::string append(record_log &Log, std::string_view Body) {
    std::size_t First = Log.size();
    while (Body.size() > 4) {
      std::size_t Size = 0;
      for (char Each : Body.substr(0, 4))
        Size = Size << 8 | static_cast<unsigned char>(Each);
      std::string_view Record = Body.substr(4, Size);
      auto KeySize = static_cast<unsigned char>(Record[0]);
      Log.emplace_back(Record.substr(1, KeySize), Record.substr(1 + KeySize));
      Body.remove_prefix(4 + Size);
    }
    Changed.notify_all();
    return nlohmann::json{{"offset", First}, {"end", Log.size()}}.dump();
  }

  static std::string bigEndian(std::uint64_t Value, int Bytes) {
    std::string Text;
    for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
      Text.push_back(static_cast<char>(Value >> Shift));
    return Text;
  }

  static std::string inBase64(const std::string &Bytes) {
    std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
    int Size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                        reinterpret_cast<const unsigned char *>(Bytes.data()),
                        static_cast<int>(Bytes.size()));
    Text.resize(static_cast<std::size_t>(Size));
    return Text;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, record_log> Topics;
  bool Ending = false;
  raw_server Server;
};

inline std::string soakConfiguration(unsigned Version) {
  char Name[16];
  std::snprintf(Name, sizeof(Name), "%08x", Version);
  auto Rule = [](const char *Kind, const std::string &Service, double Timeout) {
    return nlohmann::json{
        {"name", Service},
        {"kind", Kind},
        {"latency-target-s", 1},
        {"priority", 1},
        {"match", {{"path-prefix", "/" + Service + "/"}}},
        {"action",
         {{"service", Service}, {"timeout-s", Timeout}, {"attempts", 3}}}};
  };
  auto Cluster = [](const std::string &Service) {
    return nlohmann::json{{"name", Service},
                          {"health-check-path", "/health"},
                          {"connection-limit", 390},
                          {"protocol", "h1"},
                          {"tls", false}};
  };
  auto Rules = nlohmann::json::array(
      {Rule("safe", "lookups", 2 + Version % 2), Rule("unsafe", "orders", 3)});
  if (Version % 2 == 0)
    Rules.push_back(Rule("safe", "extra", 2));
  return nlohmann::json{
      {"version", Name},
      {"limits",
       {{"header-bytes", 16384},
        {"body-bytes", 1'000'000},
        {"header-timeout-s", 3},
        {"idle-timeout-s", 15}}},
      {"listeners", {{{"host", "shop.example"}, {"rules", Rules}}}},
      {"clusters", {Cluster("lookups"), Cluster("orders"), Cluster("extra")}}}
      .dump();
}

/// A backend server that stutters: it sends earlier answers once more.
class soak_server {
public:
  soak_server(const soak_options &Options, answer_ledger &Ledger,
              soak_counts &Counts, std::size_t Index)
      : Options(Options), Ledger(Ledger), Counts(Counts), Index(Index),
        Server([this](raw_connection Caller,
                      std::size_t Connection) { serve(Caller, Connection); },
               MaxConnections) {}

  void report(live_store &Store) {
    std::lock_guard Lock(Mutex);
    if (State != "gone")
      Store.put("keyed.servers", instance(), entry());
  }
  void drain(live_store &Store) {
    std::lock_guard Lock(Mutex);
    State = "draining";
    Store.put("keyed.servers", instance(), entry());
  }
  /// Leaves; another instance, of another service where that one has others,
  /// takes the address.
  void replace(live_store &Store) {
    std::lock_guard Lock(Mutex);
    Store.put("keyed.servers", instance(), "");
    ++Generation;
    State = "ready";
    Store.put("keyed.servers", instance(), entry());
  }

private:
  static constexpr int IdleMilliseconds = 1'500;
  /// The thread sanitizer bears some 400 threads at once here.
  static constexpr std::size_t MaxConnections = 56;

  struct written_answer {
    std::string Bytes;
    bool EndsWithConnection = false;
  };

  std::string instance() const {
    return "i-" + std::to_string(Index) + "-" + std::to_string(Generation);
  }
  std::string service() const {
    bool Swapped = Index >= 4 && Generation % 2 == 1;
    return (Index % 2 == 0) != Swapped ? "lookups" : "orders";
  }
  std::string entry() {
    return nlohmann::json{{"service", service()},
                          {"address", Server.endpoint()},
                          {"zone", "z"},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", State},
                          {"cold-remaining-s", 0},
                          {"sequence", ++Sequence},
                          {"born", 1 + Generation}}
        .dump();
  }

  void serve(raw_connection &Caller, std::size_t Connection) {
    random_bits Random(Options.Seed * 1'000'000 + Index * 100'000 + Connection);
    std::size_t Mine = generation();
    std::string Earlier;
    // The connection class throws when nothing comes for a long time.
    try {
      while (true) {
        if (!Earlier.empty() && copies(Random) &&
            !Caller.hasInput(static_cast<int>(below(Random, 12))))
          sendCopy(Caller, Random, Earlier, "copies while idle");
        if (!Caller.hasInput(IdleMilliseconds))
          return;
        std::string Head = Caller.readUntil("\r\n\r\n");
        if (Head.empty())
          return;
        std::string Length = fieldOf(Head, "Content-Length");
        Caller.read(Length.empty() ? 0 : std::stoul(Length));
        if (generation() != Mine)
          return;
        if (Head.starts_with("GET /health")) {
          std::lock_guard Lock(Mutex);
          Caller.send("HTTP/1.1 200 OK\r\nEndiverail-Instance-Identifier: " +
                      instance() + "\r\nContent-Length: 0\r\n\r\n");
          continue;
        }
        if (!answer(Caller, Random, Head, Earlier))
          return;
      }
    } catch (const std::exception &) {
      return;
    }
  }

  /// False when the connection is over.
  bool answer(raw_connection &Caller, random_bits &Random,
              const std::string &Head, std::string &Earlier) {
    written_answer Own = write(Random, Head);
    if (!Earlier.empty() && copies(Random, 4))
      sendCopy(Caller, Random, Earlier, "copies in front");
    if (oneIn(Random, 60)) {
      Caller.send(std::string_view(Own.Bytes).substr(
          0, below(Random, Own.Bytes.size())));
      Counts.add("answers broken off");
      if (Own.EndsWithConnection || oneIn(Random, 2))
        Caller.resetNow();
      return false;
    }
    if (!Caller.send(Own.Bytes) || Own.EndsWithConnection)
      return false;
    Earlier = Own.Bytes;
    if (copies(Random))
      sendCopy(Caller, Random, Earlier, "copies behind");
    return true;
  }

  written_answer write(random_bits &Random, const std::string &Head) {
    std::string Id = fieldOf(Head, "Endiverail-Attempt-Identifier");
    std::string Echo = "Endiverail-Attempt-Identifier: " + Id + "\r\n";
    if (isMisdirected(Head))
      return {"HTTP/1.1 421 Misdirected Request\r\n" + Echo +
              "Endiverail-Request-Not-Executed: 1\r\n"
              "Content-Length: 0\r\n\r\n"};
    std::size_t Kind = below(Random, 20);
    if (Kind == 0)
      return {"HTTP/1.1 503 Service Unavailable\r\n" + Echo +
              "Endiverail-Request-Not-Executed: 1\r\n"
              "Content-Length: 4\r\n\r\nfull"};
    int Status = Kind == 1 ? 500 : Kind == 2 ? 404 : Kind == 3 ? 204 : 200;
    std::string Signature = Ledger.addRun(Id, Status);
    sleepFor(below(Random, 6));
    std::string Bytes = "HTTP/1.1 " + std::to_string(Status) + " Any\r\n" +
                        Echo + "Endiverail-Response-Signature: " + Signature +
                        "\r\n";
    if (Status == 204)
      return {Bytes + "\r\n"};
    std::string Body = bodyOf(Signature);
    if (Kind == 4)
      return {Bytes + "Connection: close\r\n\r\n" + Body, true};
    if (Kind > 12)
      return {Bytes + "Content-Length: " + std::to_string(Body.size()) +
              "\r\n\r\n" + Body};
    std::size_t First = below(Random, Body.size() - 1) + 1;
    return {Bytes + "Transfer-Encoding: chunked\r\n\r\n" +
            inChunk(Body.substr(0, First)) + inChunk(Body.substr(First)) +
            "0\r\n\r\n"};
  }

  bool isMisdirected(const std::string &Head) {
    std::lock_guard Lock(Mutex);
    std::string Expected = fieldOf(Head, "Endiverail-Expected-Instance");
    if (!Expected.empty())
      return Expected != instance();
    if (Head.find(" /" + service() + "/") == std::string::npos)
      Counts.breach("run by another service", Head);
    return false;
  }

  static std::string inChunk(const std::string &Bytes) {
    char Size[20];
    std::snprintf(Size, sizeof(Size), "%zx\r\n", Bytes.size());
    return Size + Bytes + "\r\n";
  }

  /// A copy after an answer mostly ends its connection, so that it is rarer
  /// than one in front of an answer.
  bool copies(random_bits &Random, std::size_t OneIn = 30) const {
    return Options.Copies != copy_kind::None && oneIn(Random, OneIn);
  }

  /// A copy comes whole, in two pieces, or ends anywhere.
  void sendCopy(raw_connection &Caller, random_bits &Random,
                std::string_view Copy, const char *Where) {
    Counts.add(Where);
    std::size_t Kind = below(Random, Options.Copies == copy_kind::Cut ? 4 : 2);
    const std::array Bounds{Copy.find("\r\n"), Copy.find("\r\n\r\n"),
                            Copy.size()};
    std::size_t Bound = Bounds[below(Random, Bounds.size())];
    std::size_t Cut = 1 + below(Random, Bound - 1);
    if (Kind == 0) {
      Caller.send(Copy);
      return;
    }
    Caller.send(Copy.substr(0, Cut));
    if (Kind == 1) {
      sleepFor(below(Random, 4));
      Caller.send(Copy.substr(Cut));
    } else {
      Counts.add("copies never finished");
    }
  }

  std::size_t generation() const {
    std::lock_guard Lock(Mutex);
    return Generation;
  }

  const soak_options &Options;
  answer_ledger &Ledger;
  soak_counts &Counts;
  std::size_t Index;
  mutable std::mutex Mutex;
  std::string State = "ready";
  std::size_t Generation = 0;
  std::size_t Sequence = 0;
  raw_server Server;
};

/// Daemons as processes, each on an address of loopback.
class soak_fleet {
public:
  soak_fleet(const soak_options &Options, const std::string &StoreEndpoint)
      : Program(Options.Program), Pids(Options.Daemons, -1) {
    Folder = std::filesystem::temp_directory_path() /
             ("endiverail-soak-" + std::to_string(getpid()) + "-" +
              std::to_string(Options.Seed));
    std::filesystem::create_directories(Folder);
    for (std::size_t Index = 0; Index < Pids.size(); ++Index) {
      std::ofstream(fileOf(Index, ".json")) << settings(Index, StoreEndpoint);
      start(Index);
    }
  }
  soak_fleet(const soak_fleet &) = delete;
  soak_fleet &operator=(const soak_fleet &) = delete;
  ~soak_fleet() { end(); }

  static std::string hostOf(std::size_t Index) {
    return "127.0.0." + std::to_string(1 + Index);
  }
  std::uint16_t callerPort() const { return CallerPort; }
  std::string folder() const { return Folder; }
  void removeFolder() const { std::filesystem::remove_all(Folder); }

  void start(std::size_t Index) {
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO,
                                     fileOf(Index, ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<std::string> Words{Program, "--platform",
                                   "--settings=" + fileOf(Index, ".json")};
    std::vector<char *> Arguments;
    for (std::string &Word : Words)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    if (posix_spawn(&Pids[Index], Program.c_str(), &Actions, nullptr,
                    Arguments.data(), environ) != 0)
      Pids[Index] = -1;
    posix_spawn_file_actions_destroy(&Actions);
  }

  void signal(std::size_t Index, int Signal) const {
    if (Pids[Index] > 0)
      kill(Pids[Index], Signal);
  }

  /// Whether the process ends in time; it is ended by force if not.
  bool awaitEnd(std::size_t Index) {
    for (int Try = 0; Try < 800; ++Try, sleepFor(10))
      if (Pids[Index] <= 0 || waitpid(Pids[Index], nullptr, WNOHANG) != 0) {
        Pids[Index] = -1;
        return true;
      }
    endByForce(Pids[Index]);
    return false;
  }

  /// Whether a process ended that nobody ended.
  bool hasEnded() const {
    return std::ranges::any_of(Pids, [](pid_t Pid) {
      return Pid <= 0 || kill(Pid, 0) != 0 || isZombie(Pid);
    });
  }

  bool awaitReady() const {
    for (int Try = 0; Try < 800; ++Try, sleepFor(25))
      if (isReady())
        return true;
    return false;
  }

  void end() { std::ranges::for_each(Pids, endByForce); }

private:
  static void endByForce(pid_t &Pid) {
    if (Pid <= 0)
      return;
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
    Pid = -1;
  }

  static bool isZombie(pid_t Pid) {
    siginfo_t Info{};
    return waitid(P_PID, static_cast<id_t>(Pid), &Info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
           Info.si_pid == Pid;
  }

  bool isReady() const {
    for (std::size_t Index = 0; Index < Pids.size(); ++Index) {
      try {
        raw_connection To = raw_connection::to(ReadyPort, 0, hostOf(Index));
        To.send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
        if (!To.readUntil("\r\n").starts_with("HTTP/1.1 200"))
          return false;
      } catch (const std::exception &) {
        return false;
      }
    }
    return true;
  }

  std::string settings(std::size_t Index, const std::string &Store) const {
    auto At = [&](std::uint16_t Port) {
      return hostOf(Index) + ":" + std::to_string(Port);
    };
    return nlohmann::json{
        {"id", "host-" + std::to_string(Index)},
        {"data_centre", "z"},
        {"region", "r"},
        {"caller_address", At(CallerPort)},
        {"ready_address", At(ReadyPort)},
        {"directory_address", At(DirectoryPort)},
        {"peer_address", At(PeerPort)},
        {"store", Store},
        {"seeds", {hostOf(0) + ":" + std::to_string(PeerPort)}},
        {"grace_s", 3},
        {"retries", {{"share_of_requests", 0.2}, {"extra", 62}}},
        {"fleet_secret", "a secret of the fleet"}}
        .dump();
  }

  std::string fileOf(std::size_t Index, const char *Ending) const {
    return Folder / ("daemon-" + std::to_string(Index) + Ending);
  }

  std::string Program;
  std::filesystem::path Folder;
  std::uint16_t CallerPort = freePort();
  std::uint16_t ReadyPort = freePort();
  std::uint16_t DirectoryPort = freePort();
  std::uint16_t PeerPort = freePort();
  std::vector<pid_t> Pids;
};

} // namespace endiverail::test

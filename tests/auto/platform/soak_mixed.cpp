#include "raw_socket.h"
#include "soak_fixture.h"
#include "test_ports.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <optional>

using namespace endiverail::test;

namespace {

/// A request of a caller, named by its identifier.
struct soak_request {
  std::string Id;
  bool Unsafe = false;

  std::string bytes() const {
    return (Unsafe ? "POST /orders/" : "GET /lookups/") + Id +
           " HTTP/1.1\r\nHost: shop.example\r\n"
           "Endiverail-Attempt-Identifier: " +
           Id + "\r\nEndiverail-Deadline-Milliseconds: 3000\r\n" +
           (Unsafe ? "Content-Length: 4\r\n\r\nhold" : "\r\n");
  }
};

struct soak_answer {
  std::string Head;
  std::string Body;
  int Status = 0;
};

/// Reads an answer; nullopt when the connection ends within it.
std::optional<soak_answer> readAnswer(raw_connection &From) {
  soak_answer Answer;
  do {
    Answer.Head = From.readUntil("\r\n\r\n");
    if (!Answer.Head.ends_with("\r\n\r\n"))
      return std::nullopt;
    Answer.Status = Answer.Head.starts_with("HTTP/1.1 ")
                        ? std::atoi(Answer.Head.c_str() + 9)
                        : 0;
  } while (Answer.Status >= 100 && Answer.Status < 200);
  if (Answer.Status == 204 || Answer.Status == 304)
    return Answer;
  if (fieldOf(Answer.Head, "Transfer-Encoding") == "chunked") {
    while (true) {
      std::string Line = From.readUntil("\r\n");
      if (!Line.ends_with("\r\n"))
        return std::nullopt;
      std::size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
      std::string Chunk = From.read(Size + 2);
      if (Chunk.size() != Size + 2)
        return std::nullopt;
      if (Size == 0)
        return Answer;
      Answer.Body.append(Chunk, 0, Size);
    }
  }
  std::string Length = fieldOf(Answer.Head, "Content-Length");
  if (Length.empty()) {
    Answer.Body = From.readAll();
    return Answer;
  }
  if (!std::ranges::all_of(Length, [](unsigned char C) { return isdigit(C); }))
    Answer.Status = 0;
  std::size_t Size = std::strtoul(Length.c_str(), nullptr, 10);
  Answer.Body = From.read(Size);
  return Answer.Body.size() == Size ? std::optional(Answer) : std::nullopt;
}

/// What has come though nothing was asked; empty at the end of the connection.
std::string strayBytes(raw_connection &From) {
  constexpr std::size_t Shown = 1'000;
  std::string Bytes;
  while (Bytes.size() < Shown && From.hasInput(0)) {
    std::string Byte = From.read(1);
    if (Byte.empty())
      break;
    Bytes += Byte;
  }
  return Bytes;
}

bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// What an answer breaks; empty for a proper one.
std::string breachIn(const soak_answer &Answer, const soak_request &Request,
                     const answer_ledger &Ledger) {
  std::string Echo = fieldOf(Answer.Head, "Endiverail-Attempt-Identifier");
  std::string Signature = fieldOf(Answer.Head, "Endiverail-Response-Signature");
  if (Answer.Status == 0)
    return "no answer in the protocol";
  if (!Echo.empty() && Echo != Request.Id)
    return "identifier of another request";
  if (Signature.empty())
    return Answer.Status < 300 ? "success without signature" : "";
  std::vector<given_answer> Given = Ledger.of(Request.Id);
  auto Own = std::ranges::find(Given, Signature, &given_answer::Signature);
  if (Own == Given.end())
    return "signature of another request";
  if (Own->Status != Answer.Status)
    return "status of another answer";
  if (Answer.Status != 204 && Answer.Body != bodyOf(Signature))
    return "body of another answer";
  return "";
}

/// Sends requests one after the other, on a connection that it keeps until the
/// daemon ends it.
class soak_caller {
public:
  soak_caller(const soak_options &Options, const soak_fleet &Fleet,
              answer_ledger &Ledger, soak_counts &Counts, std::size_t Index)
      : Options(Options), Fleet(Fleet), Ledger(Ledger), Counts(Counts),
        Index(Index), Random(Options.Seed * 1'000 + Index) {}

  void run(const std::atomic<bool> &Ending) {
    while (!Ending) {
      if (!To && !connect())
        sleepFor(50);
      if (To && !turnInTime())
        To.reset();
      sleepFor(below(Random, 6));
    }
  }

private:
  bool connect() {
    try {
      To = raw_connection::to(
          Fleet.callerPort(), 0,
          soak_fleet::hostOf(below(Random, Options.Daemons)));
      return true;
    } catch (const std::exception &) {
      Counts.add("connections refused");
      return false;
    }
  }

  bool turnInTime() {
    try {
      return turn();
    } catch (const std::exception &) {
      Counts.add("connections silent for 20 s");
      return false;
    }
  }

  /// One request, or two at once; false when the connection is of no use.
  bool turn() {
    if (To->hasInput(0)) {
      std::string Bytes = strayBytes(*To);
      if (!Bytes.empty())
        Counts.breach("bytes without a request", Bytes);
      return false;
    }
    std::vector<soak_request> Requests{next()};
    if (Options.LeaveOneIn > 0 && oneIn(Random, 10))
      Requests.push_back(next());
    std::string Bytes;
    for (const soak_request &Each : Requests)
      Bytes += Each.bytes();
    Counts.add("requests", Requests.size());
    if (!To->send(Bytes)) {
      Counts.add("ended before the request");
      return false;
    }
    if (Options.LeaveOneIn > 0 && oneIn(Random, Options.LeaveOneIn))
      return leave();
    if (Options.LeaveOneIn > 0 && oneIn(Random, 12))
      sleepFor(20 + below(Random, 200));
    return std::ranges::all_of(
        Requests, [this](const soak_request &Each) { return take(Each); });
  }

  bool leave() {
    Counts.add("callers that left");
    sleepFor(below(Random, 10));
    if (oneIn(Random, 2))
      To->resetNow();
    return false;
  }

  bool take(const soak_request &Request) {
    std::optional<soak_answer> Answer = readAnswer(*To);
    if (!Answer) {
      Counts.add("ended without an answer");
      return false;
    }
    Counts.add("answers " + std::to_string(Answer->Status));
    std::string Breach = breachIn(*Answer, Request, Ledger);
    if (!Breach.empty())
      Counts.breach(Breach, "asked " + Request.bytes() + "given" +
                                givenFor(Request.Id) + "\ngot " + Answer->Head +
                                Answer->Body.substr(0, 200));
    if (Request.Unsafe && promisesNotRun(Answer->Status))
      Counts.addPromise(Request.Id);
    return fieldOf(Answer->Head, "Connection") != "close" &&
           (Answer->Status == 204 ||
            !fieldOf(Answer->Head, "Content-Length").empty() ||
            !fieldOf(Answer->Head, "Transfer-Encoding").empty());
  }

  std::string givenFor(const std::string &Id) const {
    std::string Text;
    for (const given_answer &Each : Ledger.of(Id))
      Text += " " + std::to_string(Each.Status) + " " + Each.Signature;
    return Text;
  }

  soak_request next() {
    bool Unsafe = oneIn(Random, 2);
    char Id[20];
    std::snprintf(Id, sizeof(Id), "%c%05zx%010zx", Unsafe ? 'a' : '5', Index,
                  ++Sent);
    return {Id, Unsafe};
  }

  const soak_options &Options;
  const soak_fleet &Fleet;
  answer_ledger &Ledger;
  soak_counts &Counts;
  std::size_t Index;
  std::size_t Sent = 0;
  random_bits Random;
  std::optional<raw_connection> To;
};

/// Freezes a daemon briefly again and again, so that what it has to handle
/// piles up: callers leave and come while their answers wait.
void freezeBriefly(const soak_fleet &Fleet, const soak_options &Options,
                   soak_counts &Counts, const std::atomic<bool> &Ending) {
  random_bits Random(Options.Seed * 1'000 + 980);
  while (!Ending) {
    sleepFor(20 + below(Random, 40));
    Counts.add("brief freezes");
    Fleet.signal(0, SIGSTOP);
    sleepFor(below(Random, Options.FreezeMilliseconds) + 1);
    Fleet.signal(0, SIGCONT);
  }
}

/// Signals to one daemon, in series.
void disturb(soak_fleet &Fleet, std::size_t Daemon, soak_counts &Counts,
             std::uint64_t Seed, const std::atomic<bool> &Ending) {
  random_bits Random(Seed * 1'000 + 900 + Daemon);
  while (!Ending) {
    sleepFor(300 + below(Random, 2'000));
    std::size_t Kind = below(Random, 4);
    bool Freezes = Kind >= 2;
    if (Freezes) {
      Counts.add("SIGSTOP");
      Fleet.signal(Daemon, SIGSTOP);
      sleepFor(1'000 + below(Random, 3'000));
    }
    if (Kind == 1 || Kind == 3)
      Fleet.signal(Daemon, SIGTERM);
    if (Freezes)
      Fleet.signal(Daemon, SIGCONT);
    if (Kind == 2)
      continue;
    Counts.add(Kind == 0 ? "SIGKILL" : "SIGTERM");
    if (Kind == 0)
      Fleet.signal(Daemon, SIGKILL);
    if (!Fleet.awaitEnd(Daemon))
      Counts.breach("a daemon does not end",
                    "daemon " + std::to_string(Daemon) + " after SIGTERM");
    Fleet.start(Daemon);
  }
}

/// New versions of the configuration, and servers that leave and whose
/// addresses are used again.
void change(live_store &Store,
            std::vector<std::unique_ptr<soak_server>> &Servers,
            soak_counts &Counts, std::uint64_t Seed,
            const std::atomic<bool> &Ending) {
  random_bits Random(Seed * 1'000 + 990);
  for (unsigned Version = 8; !Ending; ++Version) {
    sleepFor(300 + below(Random, 1'200));
    Counts.add("configurations");
    Store.put("keyed.op", "config", soakConfiguration(Version));
    soak_server &Server = *Servers[below(Random, Servers.size())];
    Counts.add("releases");
    Server.drain(Store);
    sleepFor(200 + below(Random, 800));
    Server.replace(Store);
  }
}

void checkPromises(const answer_ledger &Ledger, soak_counts &Counts) {
  for (const std::string &Id : Counts.promises())
    if (Ledger.runsOf(Id) > 0)
      Counts.breach("refused and run", Id);
  for (const std::string &Id : Ledger.unsafeRunTwice())
    Counts.breach("unsafe run twice", Id);
}

void soak(const soak_options &Options) {
  answer_ledger Ledger;
  soak_counts Counts;
  live_store Store;
  Store.put("keyed.op", "config", soakConfiguration(7));
  std::vector<std::unique_ptr<soak_server>> Servers;
  for (std::size_t Index = 0; Index < Options.Servers; ++Index)
    Servers.push_back(
        std::make_unique<soak_server>(Options, Ledger, Counts, Index));
  std::atomic<bool> Ending = false;
  std::jthread Reporter([&] {
    while (!Ending) {
      for (auto &Each : Servers)
        Each->report(Store);
      sleepFor(700);
    }
  });
  soak_fleet Fleet(Options, Store.endpoint());
  REQUIRE(Fleet.awaitReady());
  sleepFor(1'500);

  {
    std::vector<std::jthread> Threads;
    for (std::size_t Index = 0; Index < Options.Callers; ++Index)
      Threads.emplace_back([&, Index] {
        soak_caller(Options, Fleet, Ledger, Counts, Index).run(Ending);
      });
    if (Options.FreezeMilliseconds > 0)
      Threads.emplace_back(
          [&] { freezeBriefly(Fleet, Options, Counts, Ending); });
    if (Options.Trouble) {
      for (std::size_t Daemon = 0; Daemon < Options.Daemons; ++Daemon)
        Threads.emplace_back([&, Daemon] {
          disturb(Fleet, Daemon, Counts, Options.Seed, Ending);
        });
      Threads.emplace_back(
          [&] { change(Store, Servers, Counts, Options.Seed, Ending); });
    }
    sleepFor(static_cast<std::size_t>(Options.Seconds) * 1'000);
    if (!Options.Trouble && Fleet.hasEnded())
      Counts.breach("a daemon ended by itself", "");
    Ending = true;
  }
  Fleet.end();
  Store.end();
  checkPromises(Ledger, Counts);
  std::cout << Options.text() << '\n' << Counts.table() << std::flush;
  INFO("logs of the daemons: " << Fleet.folder());
  CHECK(Counts.count("answers 200") > 0);
  CHECK(Counts.breaches() == 0);
  if (Counts.breaches() == 0)
    Fleet.removeFolder();
}

} // namespace

TEST_CASE("late copies give no caller an answer that is not its own") {
  soak(soak_options::ofEnvironment({.Seconds = 12}));
}

TEST_CASE("callers that leave pass their answers on to no other caller",
          "[leaving]") {
  soak(soak_options::ofEnvironment({.Seconds = 10,
                                    .Copies = copy_kind::None,
                                    .LeaveOneIn = 2,
                                    .FreezeMilliseconds = 30}));
}

TEST_CASE("restarts and changes beside late copies give no caller an answer "
          "that is not its own",
          "[restarts]") {
  soak(soak_options::ofEnvironment(
      {.Seconds = 25, .Daemons = 2, .Callers = 24, .Trouble = true}));
}

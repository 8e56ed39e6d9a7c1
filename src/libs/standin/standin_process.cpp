#include "standin/standin_process.h"

#include "base/text.h"
#include "files/daemon_settings.h"
#include "files/host_list_codec.h"
#include "files/log_codec.h"
#include "http/front_end.h"
#include "process/event_loop.h"
#include "standin/answer_content.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <thread>
#include <unordered_map>
#include <vector>

namespace endiverail {
namespace {

constexpr std::size_t PieceBytes = std::size_t{64} * 1024;
constexpr std::size_t MostAhead = 4 * PieceBytes;
constexpr std::size_t MostBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t MemoryBytes = std::size_t{512} * 1024 * 1024;
constexpr std::size_t PlatformDoor = SIZE_MAX;

struct arrival {
  std::size_t Door = 0;
  response_handle ResponseHandle;
  received_request Request;
};
struct written {
  std::size_t Door = 0;
  response_handle ResponseHandle;
  std::size_t Bytes = 0;
};
struct gone {
  std::size_t Door = 0;
  response_handle ResponseHandle;
};
struct stop {};
using standin_message = std::variant<arrival, written, gone, stop>;
using standin_mailbox = mailbox<standin_message>;

/// The listening address of one backend server, or of the platform.
class standin_door {
public:
  standin_door(std::size_t Index, standin_mailbox &Inbox)
      : Index(Index), Inbox(Inbox) {}

  request_owner onRequest(const response_handle &ResponseHandle,
                          received_request Request) {
    Inbox.post(arrival{Index, ResponseHandle, std::move(Request)});
    return Index;
  }
  void onWritten(request_owner, const response_handle &ResponseHandle,
                 std::size_t Bytes) {
    Inbox.post(written{Index, ResponseHandle, Bytes});
  }
  void onCallerGone(request_owner, const response_handle &ResponseHandle) {
    Inbox.post(gone{Index, ResponseHandle});
  }

private:
  std::size_t Index;
  standin_mailbox &Inbox;
};

using door_front = front_end<standin_door>;

/// A numeric parameter of a target's query.
std::optional<std::uint64_t> queryNumber(std::string_view Target,
                                         std::string_view Name) {
  std::size_t At = Target.find('?');
  if (At == std::string_view::npos)
    return std::nullopt;
  for (std::string_view Pair : split(Target.substr(At + 1), '&'))
    if (Pair.starts_with(Name) && Pair.substr(Name.size()).starts_with('='))
      return parseDecimal(Pair.substr(Name.size() + 1));
  return std::nullopt;
}

/// One answer of a backend server in progress.
struct backend_answer {
  std::size_t Door = 0;
  response_handle ResponseHandle;
  std::string RequestId;
  std::string Attempt;
  backend_verdict Verdict = backend_verdict::Answer;
  std::uint64_t Size = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Left = 0;
  bool HoldsSlot = false;
  bool Begun = false;
};

/// All models of the process, on one thread.
class standin_thread {
public:
  standin_thread(poller Poller, standin_mailbox &Inbox,
                 const scenario &Scenario)
      : Poller(std::move(Poller)), Inbox(Inbox),
        Log(Scenario.RetentionMilliseconds), Start(steadyNow()) {
    this->Poller.watch(Inbox.descriptor(), true, false);
    Hosts.Revision = 1;
    Hosts.EntryHosts = Scenario.EntryHosts;
    for (const backend_settings &Settings : Scenario.Servers) {
      Servers.emplace_back(Settings, Scenario.Seed + Servers.size());
      Hosts.Servers.push_back({Settings.Address, Settings.Pool,
                               Settings.DataCentre, server_state::Live});
    }
    for (const timed_order &Order : Scenario.Orders)
      Timers.emplace(Start + Order.At, [this, Order] { obey(Order.Order); });
  }

  void setFronts(std::vector<std::unique_ptr<door_front>> &Doors,
                 door_front &PlatformFront) {
    Fronts = &Doors;
    Platform = &PlatformFront;
  }

  void run() { runEventLoop(Poller, *this); }

  void onReady(const ready_descriptor &, steady_time) {
    auto Batch = Inbox.takeAll();
    for (standin_message &Message : Batch.Messages)
      std::visit([&](auto &Part) { take(Part); }, Message);
  }

  void onWake(steady_time Now) {
    while (!Timers.empty() && Timers.begin()->first <= Now) {
      auto Due = std::move(Timers.begin()->second);
      Timers.erase(Timers.begin());
      Due();
    }
  }

  std::optional<steady_time> nextWake() const {
    if (Timers.empty())
      return std::nullopt;
    return Timers.begin()->first;
  }

  bool finished() const { return Stopped; }

private:
  static std::int64_t wallMilliseconds() {
    return wallNow().time_since_epoch().count();
  }

  door_front &front(std::size_t Door) {
    return Door == PlatformDoor ? *Platform : *(*Fronts)[Door];
  }

  void take(stop &) { Stopped = true; }

  void take(arrival &Arrival) {
    if (Arrival.Door == PlatformDoor)
      onPlatform(Arrival);
    else
      onBackend(Arrival);
  }

  void take(written &Written) {
    auto Found = Answers.find(Written.ResponseHandle.Connection);
    if (Found == Answers.end() ||
        !(Found->second.ResponseHandle == Written.ResponseHandle))
      return;
    Found->second.Left += Written.Bytes;
    sendPieces(Found->second);
  }

  void take(gone &Gone) {
    auto Found = Answers.find(Gone.ResponseHandle.Connection);
    if (Found == Answers.end())
      return;
    // The caller's leaving is its cancellation.
    endAnswer(Found);
  }

  // Backend servers.

  void onBackend(arrival &Arrival) {
    backend_model &Server = Servers[Arrival.Door];
    const request_frame &Frame = Arrival.Request.Frame;
    bool Probe = Frame.Target == "/health";
    bool Kills = !findHeader(Frame.Fields, "X-Kill").empty();
    backend_decision Decision = Server.onRequest(
        {Kills, Probe, findHeader(Frame.Fields, "Endiverail-Attempt")},
        steadyNow());
    if (Kills && Decision.Verdict == backend_verdict::Break)
      breakAll(Arrival.Door);

    backend_answer Answer;
    Answer.Door = Arrival.Door;
    Answer.ResponseHandle = Arrival.ResponseHandle;
    Answer.RequestId = findHeader(Frame.Fields, RequestIdHeader);
    Answer.Attempt = findHeader(Frame.Fields, "Endiverail-Attempt");
    Answer.Verdict = Decision.Verdict;
    Answer.Size = queryNumber(Frame.Target, "bytes").value_or(200);
    Answer.HoldsSlot = Decision.HoldsSlot;
    bool Runs = Decision.HoldsSlot || Kills;
    if (Runs && Frame.Method == "POST")
      ++RunCounts[Answer.RequestId];
    Answers.insert_or_assign(Arrival.ResponseHandle.Connection, Answer);
    response_handle ResponseHandle = Arrival.ResponseHandle;
    Timers.emplace(steadyNow() + Decision.After,
                   [this, ResponseHandle] { beginAnswer(ResponseHandle); });
  }

  using answer_map = std::unordered_map<std::uint64_t, backend_answer>;

  void beginAnswer(const response_handle &ResponseHandle) {
    auto Found = Answers.find(ResponseHandle.Connection);
    if (Found == Answers.end() ||
        !(Found->second.ResponseHandle == ResponseHandle))
      return;
    backend_answer &Answer = Found->second;
    backend_model &Server = Servers[Answer.Door];
    if (Answer.Verdict == backend_verdict::Silence)
      return;
    if (Answer.Verdict == backend_verdict::Lose)
      return endAnswer(Found);
    if (Answer.Verdict == backend_verdict::Break ||
        Server.isDown(steadyNow())) {
      front(Answer.Door).post(response_abort{ResponseHandle});
      endAnswer(Found);
      return;
    }
    response_head Head;
    Head.Length = Answer.Size;
    Head.Headers.push_back({"Content-Type", "application/octet-stream"});
    Head.Headers.push_back({"X-Server", Server.settings().Address});
    Head.Headers.push_back(
        {"Endiverail-Attempt", Answer.Verdict == backend_verdict::AnswerForeign
                                   ? "another.1.1.1"
                                   : Answer.Attempt});
    if (Server.leaving())
      Head.Headers.push_back({"Endiverail-Leaving", "true"});
    if (Answer.Verdict == backend_verdict::Shed) {
      Head.Status = 503;
      Head.Headers.push_back({"Endiverail-Not-Run", "true"});
    }
    if (Answer.Verdict == backend_verdict::AnswerError)
      Head.Status = 500;
    Answer.Left = MostAhead;
    Answer.Begun = true;
    front(Answer.Door).post(response_begin{ResponseHandle, std::move(Head)});
    sendPieces(Answer);
  }

  void sendPieces(backend_answer &Answer) {
    if (!Answer.Begun)
      return;
    while (Answer.Left > 0 && Answer.Sent < Answer.Size) {
      std::size_t Size =
          std::min({PieceBytes, Answer.Left, Answer.Size - Answer.Sent});
      front(Answer.Door)
          .post(response_data{
              Answer.ResponseHandle,
              answerContent(Answer.RequestId, Answer.Sent, Size)});
      Answer.Sent += Size;
      Answer.Left -= Size;
      if (Answer.Verdict == backend_verdict::AnswerCut &&
          Answer.Sent * 2 >= Answer.Size) {
        front(Answer.Door).post(response_abort{Answer.ResponseHandle});
        return;
      }
    }
    if (Answer.Sent < Answer.Size)
      return;
    front(Answer.Door).post(response_end{Answer.ResponseHandle});
    endAnswer(Answers.find(Answer.ResponseHandle.Connection));
  }

  void endAnswer(answer_map::iterator Found) {
    if (Found->second.HoldsSlot)
      Servers[Found->second.Door].release();
    Answers.erase(Found);
  }

  /// The process of a backend server is gone, and all that ran on it.
  void breakAll(std::size_t Door) {
    for (auto Next = Answers.begin(); Next != Answers.end();) {
      auto Current = Next++;
      if (Current->second.Door != Door)
        continue;
      front(Door).post(response_abort{Current->second.ResponseHandle});
      Answers.erase(Current);
    }
  }

  // The platform.

  void onPlatform(arrival &Arrival) {
    const request_frame &Frame = Arrival.Request.Frame;
    std::string_view Target = Frame.Target;
    if (Target.starts_with("/log/"))
      return onLog(Arrival);
    if (Target == HostsTarget)
      return answer(Arrival.ResponseHandle, 200,
                    encodeHostList(HostsFrozen ? FrozenHosts : Hosts));
    if (Target == "/standin/order" && Frame.Method == "POST")
      return onOrder(Arrival);
    if (Target == "/standin/runs" && Frame.Method == "POST")
      return onRuns(Arrival);
    if (Target == "/standin/servers")
      return answer(Arrival.ResponseHandle, 200, serversText());
    answer(Arrival.ResponseHandle, 404, "{}");
  }

  void answer(const response_handle &ResponseHandle, int Status,
              std::string Body) {
    response_head Head;
    Head.Status = Status;
    Head.Headers.push_back({"Content-Type", "application/json"});
    postResponse(*Platform, ResponseHandle, std::move(Head), std::move(Body));
  }

  void onLog(arrival &Arrival) {
    const request_frame &Frame = Arrival.Request.Frame;
    if (LogFault == log_fault::Down)
      return answer(Arrival.ResponseHandle, 503, "{}");
    if (Frame.Target == AppendTarget && Frame.Method == "POST") {
      std::uint64_t Offset =
          Log.append(std::move(Arrival.Request.Body), wallMilliseconds());
      if (LogFault == log_fault::LostAnswers)
        return Platform->post(response_abort{Arrival.ResponseHandle});
      return answer(Arrival.ResponseHandle, 200,
                    nlohmann::json{{"offset", Offset}}.dump());
    }
    answer(Arrival.ResponseHandle, 200,
           Log.read(queryNumber(Frame.Target, "from").value_or(0),
                    queryNumber(Frame.Target, "max").value_or(1'000),
                    wallMilliseconds()));
  }

  void onOrder(const arrival &Arrival) {
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Order, readOrder(Arrival.Request.Body));
          obey(Order);
          answer(Arrival.ResponseHandle, 200, "{}");
          return {};
        },
        [&](const failure &Failure) {
          answer(Arrival.ResponseHandle, 400,
                 nlohmann::json{{"error", Failure.Detail}}.dump());
        });
  }

  /// How often requests of these identities were run, of those run at all.
  void onRuns(const arrival &Arrival) {
    nlohmann::json Ids =
        nlohmann::json::parse(Arrival.Request.Body, nullptr, false);
    nlohmann::json Counts = nlohmann::json::object();
    if (Ids.is_array())
      for (const nlohmann::json &Id : Ids)
        if (auto Found = RunCounts.find(Id.get<std::string>());
            Found != RunCounts.end())
          Counts[Found->first] = Found->second;
    answer(Arrival.ResponseHandle, 200, Counts.dump());
  }

  std::string serversText() const {
    nlohmann::json List = nlohmann::json::array();
    for (const backend_model &Server : Servers)
      List.push_back({{"address", Server.settings().Address},
                      {"pool", Server.settings().Pool},
                      {"in_use", Server.inUse()},
                      {"started", Server.started()},
                      {"deaths", Server.deaths()}});
    return nlohmann::json{{"servers", List},
                          {"log_reads", Log.reads()},
                          {"log_appends", Log.appends()}}
        .dump();
  }

  // Orders.

  void obey(const standin_order &Order) {
    std::visit([&](const auto &Part) { follow(Part); }, Order);
  }

  void follow(const log_order &Order) { LogFault = Order.Fault; }

  void follow(const server_order &Order) {
    for (backend_model &Server : Servers)
      if (Server.settings().Address == Order.Address ||
          Server.settings().Pool == Order.Pool)
        Server.setFault(Order.Fault);
  }

  void follow(const leaving_order &Order) {
    ++Hosts.Revision;
    for (backend_server &Server : Hosts.Servers)
      if (Server.Address == Order.Address)
        Server.State =
            Order.Leaving ? server_state::Leaving : server_state::Live;
    for (backend_model &Server : Servers)
      if (Server.settings().Address == Order.Address)
        Server.setLeaving(Order.Leaving);
  }

  void follow(const hosts_order &Order) {
    HostsFrozen = Order.Frozen;
    FrozenHosts = Hosts;
  }

  poller Poller;
  standin_mailbox &Inbox;
  log_model Log;
  log_fault LogFault = log_fault::None;
  steady_time Start;
  host_list Hosts;
  host_list FrozenHosts;
  bool HostsFrozen = false;
  std::vector<backend_model> Servers;
  answer_map Answers;
  std::unordered_map<std::string, std::size_t> RunCounts;
  std::multimap<steady_time, std::function<void()>> Timers;
  std::vector<std::unique_ptr<door_front>> *Fronts = nullptr;
  door_front *Platform = nullptr;
  bool Stopped = false;
};

} // namespace

struct standin_process::parts {
  parts(const scenario &From, event_descriptor Event)
      : Scenario(From), Memory(MemoryBytes), Inbox(std::move(Event)) {}

  result<std::unique_ptr<door_front>> listen(std::size_t Index,
                                             std::string_view Address) {
    Doors.push_back(std::make_unique<standin_door>(Index, Inbox));
    front_end_settings Settings;
    std::tie(Settings.Address, Settings.Port) = splitEndpoint(Address);
    Settings.Limits.BodyBytes = MostBodyBytes;
    BOOST_LEAF_AUTO(Front, door_front::create(Settings, *Doors.back(), Memory));
    return Front;
  }

  result<void> start() {
    BOOST_LEAF_AUTO(Poller, poller::create());
    Thread =
        std::make_unique<standin_thread>(std::move(Poller), Inbox, Scenario);
    for (std::size_t Index = 0; Index < Scenario.Servers.size(); ++Index) {
      BOOST_LEAF_AUTO(Front, listen(Index, Scenario.Servers[Index].Address));
      Fronts.push_back(std::move(Front));
    }
    BOOST_LEAF_ASSIGN(Platform, listen(PlatformDoor, Scenario.Platform));
    Thread->setFronts(Fronts, *Platform);
    for (auto &Front : Fronts)
      BOOST_LEAF_CHECK(Front->start());
    BOOST_LEAF_CHECK(Platform->start());
    Running = std::jthread([this] { Thread->run(); });
    return {};
  }

  scenario Scenario;
  memory_budget Memory;
  standin_mailbox Inbox;
  std::vector<std::unique_ptr<standin_door>> Doors;
  std::vector<std::unique_ptr<door_front>> Fronts;
  std::unique_ptr<door_front> Platform;
  std::unique_ptr<standin_thread> Thread;
  std::jthread Running;
};

result<std::unique_ptr<standin_process>>
standin_process::create(const scenario &Scenario) {
  BOOST_LEAF_AUTO(Event, event_descriptor::create());
  auto Parts = std::make_unique<parts>(Scenario, std::move(Event));
  BOOST_LEAF_CHECK(Parts->start());
  return std::unique_ptr<standin_process>(
      new standin_process(std::move(Parts)));
}

standin_process::standin_process(std::unique_ptr<parts> Parts)
    : Parts(std::move(Parts)) {}

standin_process::~standin_process() {
  Parts->Inbox.post(stop{});
  Parts->Running.join();
}

} // namespace endiverail

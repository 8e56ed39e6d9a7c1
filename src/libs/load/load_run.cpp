#include "load/load_run.h"

#include "base/hash.h"
#include "files/host_list_codec.h"
#include "http/blocking_client.h"
#include "http/curl_transport.h"
#include "standin/answer_content.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <ranges>
#include <unordered_map>

namespace endiverail {
namespace {

using nlohmann::json;

constexpr milliseconds FetchTimeout{2'000};
constexpr milliseconds ResendPause{250};
constexpr std::size_t IdsPerQuestion = 2'000;
constexpr std::string_view UnreachableAtCaller =
    "backend-unreachable-at-caller";

struct known_address {
  endpoint_text Address;
  std::string KeyPrefix;
  std::uint64_t Servers = 0;
};

struct address_book {
  std::vector<known_address> Addresses;
  steady_time Until;
};

/// One request of a caller, with all times it is sent.
struct sent_request {
  std::size_t Work = 0;
  std::string Id;
  std::string Target;
  std::string Body;
  std::string Key;
  endpoint_text Address;
  bool Direct = false;
  std::size_t Sends = 0;
  /// An earlier sending was told "unknown".
  bool MayHaveRun = false;
  steady_time First;
  int Status = 0;
  outcome Outcome = outcome::Unknown;
  std::string Error;
  std::uint64_t Received = 0;
  bool ContentWrong = false;
};

/// What a caller was told last of a request that is not idempotent.
struct told_outcome {
  rank Rank = rank::Normal;
  outcome Outcome = outcome::Unknown;
};

/// Sends a plan's load from one thread.
class load_driver {
public:
  load_driver(poller Poller, const load_plan &Plan)
      : Poller(std::move(Poller)), Plan(Plan), Random(Plan.Seed),
        Transport(this->Poller, *this) {
    Interval = std::chrono::duration_cast<steady_time::duration>(
        std::chrono::duration<double>(1.0 / static_cast<double>(Plan.Rate)));
    for (const planned_work &Work : Plan.Work)
      Weights.push_back(static_cast<double>(Work.Weight));
  }

  result<void> prepare() {
    BOOST_LEAF_AUTO(Hosts,
                    fetch("GET", Plan.Platform, HostsTarget, "", FetchTimeout));
    BOOST_LEAF_AUTO(Decoded, decodeHostList(Hosts.Body));
    for (const backend_server &Server : Decoded.Hosts.Servers)
      Servers[Server.Pool].push_back(Server.Address);
    for (const planned_work &Work : Plan.Work)
      BOOST_LEAF_CHECK(refreshAddresses(Work.Service));
    return {};
  }

  void run() {
    Start = steadyNow();
    NextSend = Start;
    End = Start + std::chrono::seconds(Plan.Seconds);
    runEventLoop(Poller, *this);
    Report.Seconds = std::chrono::duration<double>(steadyNow() - Start).count();
  }

  /// Asks the stand-in how often each request really ran.
  result<void> audit() {
    std::vector<std::string> Ids;
    for (const auto &[Id, Told] : NonIdempotent) {
      Ids.push_back(Id);
      if (Ids.size() == IdsPerQuestion) {
        BOOST_LEAF_CHECK(auditPart(Ids));
        Ids.clear();
      }
    }
    return auditPart(Ids);
  }

  load_report takeReport() { return std::move(Report); }

  // The event loop calls these.

  void onReady(const ready_descriptor &Ready, steady_time) {
    Transport.onReady(Ready);
  }

  void onWake(steady_time Now) {
    Transport.onWake(Now);
    while (NextSend <= Now && NextSend < End) {
      sendNew(Now);
      NextSend += Interval;
    }
    while (!Resends.empty() && Resends.front().first <= Now) {
      sent_request Request = std::move(Resends.front().second);
      Resends.pop_front();
      send(std::move(Request), Now);
    }
  }

  std::optional<steady_time> nextWake() const {
    std::optional<steady_time> Next = Transport.nextWake();
    auto Consider = [&](steady_time Time) {
      if (!Next || Time < *Next)
        Next = Time;
    };
    if (NextSend < End)
      Consider(NextSend);
    if (!Resends.empty())
      Consider(Resends.front().first);
    return Next;
  }

  bool finished() const {
    return NextSend >= End && Running.empty() && Resends.empty();
  }

  // The transport calls these.

  bool mayStart(attempt_id) const { return true; }
  std::optional<error_kind> onHead(attempt_id Id, backend_response_head Head) {
    sent_request &Request = Running.at(Id);
    Request.Status = Head.Status;
    Request.Outcome =
        Request.Direct
            ? (Head.Status == 200 ? outcome::Done : outcome::NotRun)
            : outcomeFromName(findHeader(Head.Headers, "Endiverail-Outcome"));
    Request.Error = findHeader(Head.Headers, "Endiverail-Error");
    return std::nullopt;
  }

  bool onBodyData(attempt_id Id, std::string_view Piece) {
    sent_request &Request = Running.at(Id);
    if (Request.Status == 200)
      Request.ContentWrong |=
          answerContent(Request.Id, Request.Received, Piece.size()) != Piece;
    Request.Received += Piece.size();
    return true;
  }

  void onEnd(attempt_id Id, const attempt_end &Ended) {
    sent_request Request = std::move(Running.at(Id));
    Running.erase(Id);
    if (Ended.Failure) {
      Request.Outcome =
          Ended.Failure->ProvenNotRun ? outcome::NotRun : outcome::Unknown;
      Request.Error = errorAnswer(Ended.Failure->Kind).Name;
      Request.Error += "-at-caller";
    }
    finish(std::move(Request), steadyNow());
  }

private:
  const planned_work &workOf(const sent_request &Request) const {
    return Plan.Work[Request.Work];
  }

  load_row &rowOf(const sent_request &Request) {
    return Request.Direct ? Report.Direct
                          : Report.Fleet[rankIndex(workOf(Request).Rank)];
  }

  result<void> refreshAddresses(const std::string &Service) {
    std::uniform_int_distribution<std::size_t> Any(0, Plan.Daemons.size() - 1);
    std::size_t First = Any(Random);
    for (std::size_t Try = 0; Try < Plan.Daemons.size(); ++Try) {
      const endpoint_text &Daemon =
          Plan.Daemons[(First + Try) % Plan.Daemons.size()];
      bool Known = handleFailure(
          [&]() -> result<bool> { return askAddresses(Daemon, Service); },
          [](const failure &) { return false; });
      if (Known)
        return {};
    }
    return fail(error_kind::StoreUnavailable,
                "no daemon tells addresses for " + Service);
  }

  result<bool> askAddresses(const endpoint_text &Daemon,
                            const std::string &Service) {
    BOOST_LEAF_AUTO(Answer, fetch("GET", Daemon,
                                  "/endiverail/addresses?service=" + Service,
                                  "", FetchTimeout));
    json Value = json::parse(Answer.Body, nullptr, false);
    if (Answer.Status != 200 || !Value.is_object())
      return false;
    address_book &Book = Books[Service];
    Book.Addresses.clear();
    for (const json &Entry : Value["addresses"])
      Book.Addresses.push_back({Entry["address"], Entry["key_prefix"],
                                Entry["servers"].get<std::uint64_t>()});
    Book.Until =
        steadyNow() + milliseconds(Value["lifetime_ms"].get<std::int64_t>());
    return !Book.Addresses.empty();
  }

  const known_address &chooseAddress(const std::string &Service,
                                     std::string_view Avoid) {
    address_book &Book = Books[Service];
    if (steadyNow() >= Book.Until)
      handleFailure(
          [&] { return refreshAddresses(Service); },
          [&](const failure &) { Book.Until = steadyNow() + FetchTimeout; });
    std::vector<double> Shares;
    Shares.reserve(Book.Addresses.size());
    for (const known_address &Known : Book.Addresses)
      Shares.push_back(Known.Address == Avoid
                           ? 0.0001
                           : static_cast<double>(Known.Servers) + 0.001);
    std::discrete_distribution<std::size_t> Pick(Shares.begin(), Shares.end());
    return Book.Addresses[Pick(Random)];
  }

  void sendNew(steady_time Now) {
    std::discrete_distribution<std::size_t> Pick(Weights.begin(),
                                                 Weights.end());
    sent_request Request;
    Request.Work = Pick(Random);
    const planned_work &Work = workOf(Request);
    std::string Number = std::to_string(NextNumber++);
    Request.Id = "load-" + std::to_string(Plan.Seed) + "-" + Number;
    Request.Target = Work.Target;
    if (std::size_t At = Request.Target.find("{n}"); At != std::string::npos)
      Request.Target.replace(At, 3, Number);
    Request.Target += "?bytes=" + std::to_string(Work.AnswerBytes);
    Request.Body = answerContent(Request.Id, 0, Work.BodyBytes);
    Request.First = Now;
    std::uniform_int_distribution<std::uint64_t> Percent(1, 100);
    Request.Direct = Work.Idempotent && Percent(Random) <= Plan.DirectPercent;
    ++rowOf(Request).Sent;
    send(std::move(Request), Now);
  }

  void send(sent_request Request, steady_time) {
    const planned_work &Work = workOf(Request);
    if (Request.Direct) {
      const auto &Pool = Servers[Work.Service];
      std::uniform_int_distribution<std::size_t> Any(0, Pool.size() - 1);
      Request.Address = Pool[Any(Random)];
    } else {
      const known_address &Chosen =
          chooseAddress(Work.Service, Request.Address);
      Request.Address = Chosen.Address;
      if (!Work.Idempotent && Request.Key.empty())
        Request.Key = Chosen.KeyPrefix + "~" + Request.Id;
    }
    ++Request.Sends;
    Request.Received = 0;
    Request.Status = 0;
    std::uniform_int_distribution<std::size_t> Any(1, Work.Organisations);
    std::vector<header_field> Headers{
        {std::string(RequestIdHeader), Request.Id},
        {"Endiverail-Organisation", "org-" + std::to_string(Any(Random))}};
    if (!Request.Key.empty())
      Headers.push_back({"Endiverail-Key", Request.Key});
    attempt_id Id = NextAttempt++;
    sent_request &Kept = Running[Id] = std::move(Request);
    Transport.start({Id, Kept.Address, Work.Method, Kept.Target, Headers,
                     Kept.Body, connectionFor(Work.Idempotent), Work.Timeout});
  }

  void finish(sent_request Request, steady_time Now) {
    const planned_work &Work = workOf(Request);
    load_row &Row = rowOf(Request);
    if (!Request.Error.empty())
      ++Row.Errors[Request.Error];
    Request.MayHaveRun |= Request.Outcome == outcome::Unknown;
    if (!Work.Idempotent)
      NonIdempotent[Request.Id] = {Work.Rank, Request.Outcome};
    bool SendAgain = Request.Outcome != outcome::Done && !Request.Key.empty() &&
                     Request.Sends <= Plan.Resends;
    // A proxy that can't be reached is gone from the next address answer.
    if (Request.Error == UnreachableAtCaller)
      Books[Work.Service].Until = Now;
    if (SendAgain) {
      // Nothing has run under the key, so another proxy's will do as well.
      if (!Request.MayHaveRun)
        Request.Key.clear();
      Resends.emplace_back(Now + ResendPause, std::move(Request));
      return;
    }
    switch (Request.Outcome) {
    case outcome::NotRun:
      ++Row.NotRun;
      return;
    case outcome::Unknown:
      ++Row.Unknown;
      return;
    case outcome::Done:
      break;
    }
    bool Whole =
        Request.Status != 200 ||
        (Request.Received == Work.AnswerBytes && !Request.ContentWrong);
    Row.Wrong += Whole ? 0 : 1;
    ++Row.Done;
    auto Time = std::chrono::duration_cast<microseconds>(Now - Request.First);
    Row.DoneTimes.push_back(Time);
    if (Work.Idempotent && !Request.Direct)
      Report.ComparedTimes.push_back(Time);
  }

  result<void> auditPart(const std::vector<std::string> &Ids) {
    if (Ids.empty())
      return {};
    BOOST_LEAF_AUTO(Answer, fetch("POST", Plan.Platform, "/standin/runs",
                                  json(Ids).dump(), FetchTimeout));
    json Counts = json::parse(Answer.Body, nullptr, false);
    if (!Counts.is_object())
      return fail(error_kind::BadRecord, "the stand-in does not tell runs");
    for (const auto &[Id, Count] : Counts.items()) {
      const told_outcome &Told = NonIdempotent.at(Id);
      load_row &Row = Report.Fleet[rankIndex(Told.Rank)];
      Row.Doubled += Count.get<int>() > 1 ? 1 : 0;
      Row.FalseNotRun += Told.Outcome == outcome::NotRun ? 1 : 0;
    }
    return {};
  }

  poller Poller;
  const load_plan &Plan;
  std::mt19937_64 Random;
  curl_transport<load_driver> Transport;
  std::vector<double> Weights;
  std::map<std::string, std::vector<endpoint_text>> Servers;
  std::map<std::string, address_book> Books;
  std::unordered_map<attempt_id, sent_request> Running;
  std::deque<std::pair<steady_time, sent_request>> Resends;
  std::map<std::string, told_outcome> NonIdempotent;
  load_report Report;
  steady_time Start;
  steady_time NextSend;
  steady_time End;
  steady_time::duration Interval{};
  std::uint64_t NextNumber = 1;
  attempt_id NextAttempt = 1;
};

} // namespace

result<load_report> runLoad(const load_plan &Plan) {
  BOOST_LEAF_AUTO(Poller, poller::create());
  load_driver Driver(std::move(Poller), Plan);
  BOOST_LEAF_CHECK(Driver.prepare());
  Driver.run();
  BOOST_LEAF_CHECK(Driver.audit());
  return Driver.takeReport();
}

} // namespace endiverail

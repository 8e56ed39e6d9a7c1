#pragma once

#include "connection/response_message.h"
#include "process/traffic_thread.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace endiverail {

/// How a simulated backend server answers.
enum class simulated_fault { None, Hang, Error, Slow, SomeErrors };

struct simulated_server {
  simulated_fault Fault = simulated_fault::None;
  /// Share of requests that fail for SomeErrors.
  double ErrorShare = 0;
  /// It answers nothing before then.
  steady_time PausedUntil;
  std::size_t InUse = 0;
};

/// Carries attempts to simulated backend servers.
template <typename Observer> class simulated_transport {
public:
  using starter = std::function<void(const attempt_request &)>;

  simulated_transport(poller &, Observer &To) : To(To) {}
  void start(const attempt_request &Request) { Start(Request); }
  void resume(attempt_id) {}
  void cancel(attempt_id Id) { Cancel(Id); }
  bool onReady(const ready_descriptor &) { return false; }
  void onWake(steady_time) {}
  std::optional<steady_time> nextWake() const { return std::nullopt; }

  starter Start;
  std::function<void(attempt_id)> Cancel;
  Observer &To;
};

/// A time source that the simulation moves.
struct simulated_clock {
  const steady_time *Time = nullptr;
  steady_time now() const { return *Time; }
  wall_time wall() const {
    return wall_time(
        std::chrono::duration_cast<milliseconds>(Time->time_since_epoch()));
  }
};

/// One owner's traffic thread before a simulated pool, in simulated time. The
/// same seed gives the same run.
class simulated_pool {
public:
  struct answer_event {
    request_id Request = 0;
    /// Position of the kind of work in the service's file.
    std::size_t Kind = 0;
    outcome Outcome = outcome::Unknown;
    bool Right = false;
    milliseconds Time{0};
  };

  simulated_pool(const service_definition &Definition, std::uint64_t Seed);
  simulated_pool(const simulated_pool &) = delete;
  simulated_pool &operator=(const simulated_pool &) = delete;

  /// Calls \p Do at a time of the simulation.
  void at(steady_time Time, std::function<void()> Do) {
    Events.emplace(Time, std::move(Do));
  }
  /// Runs until \p Until.
  void run(steady_time Until);
  /// Sends one request of that kind now. Returns its number.
  request_id send(std::string_view Method, const std::string &Organisation);

  steady_time now() const { return Now; }
  simulated_server &server(std::size_t Index) { return Servers[Index]; }
  std::size_t inUse() const;
  std::mt19937_64 &random() { return Random; }
  static std::string serverName(std::size_t Index) {
    return "server-" + std::to_string(Index);
  }

  /// Called for each answer.
  std::function<void(const answer_event &)> OnAnswer;
  /// Called when the evidence against a server suffices.
  std::function<void(std::size_t Server, bool Eject)> OnWish;
  /// Grants ejections after this; nothing for never.
  std::optional<milliseconds> GrantAfter{50};
  milliseconds ServiceTime{25};

private:
  struct answer_route {
    simulated_pool &Pool;
    void post(const response_message &Message) { Pool.onAnswerPart(Message); }
  };
  struct notice_route {
    simulated_pool &Pool;
    void notify(const control_notice &Notice) { Pool.onNotice(Notice); }
  };
  using traffic = traffic_thread<simulated_transport, answer_route,
                                 notice_route, simulated_clock>;

  void onAnswerPart(const response_message &Message);
  void onNotice(const control_notice &Notice);
  void startAttempt(const attempt_request &Request);
  void finishAttempt(attempt_id Id, std::size_t Server, int Status, bool Shed);
  std::size_t indexOf(std::string_view Server) const;

  service_definition Definition;
  accepted_service_ref Service;
  std::mt19937_64 Random;
  steady_time Now{std::chrono::hours(1)};
  std::multimap<steady_time, std::function<void()>> Events;
  std::vector<simulated_server> Servers;
  std::map<attempt_id, std::size_t> Running;
  struct sent_request {
    steady_time At;
    std::size_t Kind = 0;
  };
  std::map<std::uint64_t, sent_request> Sent;
  std::map<std::string, steady_time> Ejected;
  answer_route Answers{*this};
  notice_route Notices{*this};
  process_metrics Metrics;
  std::unique_ptr<traffic> Traffic;
  request_id LastRequest = 0;
};

} // namespace endiverail

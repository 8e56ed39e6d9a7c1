#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// How a backend server misbehaves.
enum class backend_fault {
  None,
  /// Takes requests and answers nothing.
  Hang,
  /// Answers 500.
  Error,
  /// Takes ten times as long.
  Slow,
  /// Answers a part, then breaks the connection.
  Cut,
  /// Answers as if to another request.
  Foreign,
  /// Breaks each connection at once, as when the process is gone.
  Down,
};

struct backend_settings {
  std::string Address;
  std::string Pool;
  std::string DataCentre;
  std::size_t Slots = 6;
  milliseconds ServiceTime{25};
  milliseconds RestartTime{2'000};
  milliseconds ColdTime{0};
};

/// A fault as it is put on a backend server.
struct backend_fault_order {
  backend_fault Fault = backend_fault::None;
  /// Share of the requests that it hits, 0 to 1.
  double Share = 1;
  /// When set, it hits only what this proxy sends: a fault of the path.
  std::string Proxy;
};

/// What a backend server sees of a request.
struct backend_request {
  /// Crashes whatever runs it.
  bool Kills = false;
  bool IsHealthProbe = false;
  /// The fleet's name for the attempt; begins with the proxy's id.
  std::string_view Attempt;
};

/// What a backend server does with a request.
enum class backend_verdict {
  Answer,
  AnswerError,
  AnswerCut,
  AnswerForeign,
  /// No free slot: 503 with the promise that the request was not run.
  Shed,
  Silence,
  /// Runs it, but the answer is lost on the way.
  Lose,
  Break,
};

struct backend_decision {
  backend_verdict Verdict = backend_verdict::Answer;
  /// When the answer starts.
  milliseconds After{0};
  /// Whether a slot is held until then.
  bool HoldsSlot = false;
};

/// A backend server with slots and scripted faults. It knows no transport.
class backend_model {
public:
  backend_model(backend_settings Settings, std::uint64_t Seed)
      : Settings(std::move(Settings)), Random(Seed) {}

  backend_decision onRequest(const backend_request &Request, steady_time Now);

  void release() { InUse -= InUse > 0 ? 1 : 0; }

  void setFault(backend_fault_order Order) { Current = std::move(Order); }
  void setLeaving(bool Leaves) { Leaving = Leaves; }
  bool leaving() const { return Leaving; }

  /// Starts anew, cold.
  void restart(steady_time Now);

  bool isDown(steady_time Now) const { return Now < DownUntil; }
  std::size_t inUse() const { return InUse; }
  std::uint64_t started() const { return Started; }
  std::uint64_t deaths() const { return Deaths; }
  const backend_settings &settings() const { return Settings; }

private:
  bool isHit(const backend_request &Request);

  backend_settings Settings;
  std::mt19937_64 Random;
  backend_fault_order Current;
  bool Leaving = false;
  std::size_t InUse = 0;
  std::uint64_t Started = 0;
  std::uint64_t Deaths = 0;
  steady_time DownUntil;
  steady_time ColdUntil;
};

} // namespace endiverail

#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "process/outcome_table.h"
#include "process/recent_set.h"
#include "version/fleet_view.h"
#include "version/key_successors.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// A part of the keys that a proxy hands to its heir when it ends gracefully.
struct key_hand_over {
  proxy_incarnation Giver;
  proxy_incarnation Heir;
  /// What the heir may run and answer once it has all parts.
  std::vector<key_successor> Rights;
  std::size_t Part = 0;
  std::size_t Parts = 1;
  std::vector<remembered_key> Keys;
};

/// What became of a part that was sent.
enum class key_delivery {
  Accepted,
  /// The heir has refused it, or it never reached it.
  NotTaken,
  /// It may have been taken.
  Unknown,
};

/// The giving side. It runs nothing any more, and at most one heir can ever
/// have all parts: once the last part may have arrived, no other is tried.
class key_giver {
public:
  enum class next_step { SendPart, ChooseHeir, End };

  /// \p Rights name the issuers whose keys this proxy holds.
  void start(const proxy_incarnation &Self, std::vector<key_successor> Rights,
             std::vector<remembered_key> Keys);

  void setHeir(const proxy_member &Heir);

  const endpoint_text &address() const { return Address; }
  /// The part to send now.
  const key_hand_over &part() const { return Parts[Next]; }

  /// Takes what became of the part that was sent last.
  next_step onAnswer(key_delivery Delivery);

private:
  static constexpr std::size_t MostFailures = 3;

  std::vector<key_hand_over> Parts;
  endpoint_text Address;
  std::size_t Next = 0;
  std::size_t Failures = 0;
  bool MayBeComplete = false;
};

/// The heir's side: collects the parts until all are there.
class key_receiver {
public:
  /// Takes a part. Returns the whole with the part that completes it; nothing
  /// while parts are missing, or when it was complete before. Fails with
  /// NotReady when the part is for another proxy or there is no room, and with
  /// BadRecord when it makes no sense.
  result<std::optional<key_hand_over>> take(const key_hand_over &Part,
                                            const proxy_incarnation &Self,
                                            steady_time Now);

private:
  struct collected {
    steady_time Latest;
    std::map<std::size_t, key_hand_over> Parts;
  };

  static constexpr std::size_t MostGivers = 4;
  static constexpr std::size_t MostParts = 64;
  static constexpr milliseconds PartsLast{10'000};
  static constexpr std::chrono::minutes CompleteMemory{60};
  static constexpr std::size_t MostRemembered = 4096;

  std::map<proxy_incarnation, collected> Collecting;
  recent_set<proxy_incarnation> Complete{CompleteMemory, MostRemembered};
};

} // namespace endiverail

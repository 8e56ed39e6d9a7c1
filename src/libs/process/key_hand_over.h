#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "process/expiring_set.h"
#include "process/outcome_table.h"
#include "version/fleet_view.h"
#include "version/key_successors.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiverail {

/// A part of the keys that a proxy hands over to its heir during a graceful
/// shutdown.
struct key_hand_over {
  proxy_incarnation Sender;
  proxy_incarnation Heir;
  /// The issuers whose keys the heir holds once it has received all parts.
  std::vector<key_successor> Rights;
  std::size_t Part = 0;
  std::size_t Parts = 1;
  std::vector<remembered_key> Keys;
};

/// The result of sending a part.
enum class key_delivery {
  Accepted,
  /// The heir refused the part, or it did not reach the heir.
  NotDelivered,
  /// The heir may have received the part.
  Unknown,
};

/// The sending side. The sender no longer runs requests. At most one heir can
/// ever receive all parts: once the last part may have arrived, no other heir
/// is tried.
class key_sender {
public:
  enum class next_step { SendPart, ChooseHeir, End };

  /// \p Rights contains the issuers whose keys this proxy holds.
  void start(const proxy_incarnation &Self, std::vector<key_successor> Rights,
             std::vector<remembered_key> Keys);

  void setHeir(const proxy_member &Heir);

  const endpoint_text &address() const { return Address; }
  /// The next part to send.
  const key_hand_over &part() const { return Parts[Next]; }

  /// Handles the result of sending the last part.
  next_step onDelivery(key_delivery Delivery);

private:
  static constexpr std::size_t MaxFailures = 3;

  std::vector<key_hand_over> Parts;
  endpoint_text Address;
  std::size_t Next = 0;
  std::size_t Failures = 0;
  bool MayHaveCompleted = false;
};

/// The receiving side, which collects the parts.
class key_receiver {
public:
  /// Adds a part. Returns all keys when the part completes the hand-over, and
  /// nothing while parts are missing or if the hand-over was already complete.
  /// Fails with NotReady if the part is for another proxy or too many
  /// hand-overs are in progress, and with BadRecord if the part is invalid.
  result<std::optional<key_hand_over>> take(const key_hand_over &Part,
                                            const proxy_incarnation &Self,
                                            steady_time Now);

private:
  struct partial_hand_over {
    steady_time LastReceived;
    std::map<std::size_t, key_hand_over> Parts;
  };

  static constexpr std::size_t MaxSenders = 4;
  static constexpr std::size_t MaxParts = 64;
  static constexpr milliseconds PartsLifetime{10'000};
  static constexpr std::chrono::minutes CompletedLifetime{60};
  static constexpr std::size_t MaxCompleted = 4096;

  std::map<proxy_incarnation, partial_hand_over> Partials;
  expiring_set<proxy_incarnation> Completed{CompletedLifetime, MaxCompleted};
};

} // namespace endiverail

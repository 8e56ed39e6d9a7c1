#pragma once

#include "base/time.h"
#include "connection/backend_attempt.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace endiverail::detail {

/// The two ends of a connection, which no other open connection has.
struct connection_ends {
  std::string Server;
  int ServerPort = 0;
  int LocalPort = 0;

  auto operator<=>(const connection_ends &) const = default;
};

/// What a transport remembers of its open connections. The library tells the
/// ends of a connection that it is about to use, but not its descriptor.
class connection_ledger {
public:
  /// Records a connection that was established with the socket \p Descriptor.
  void recordEstablished(const connection_ends &Ends, int Descriptor,
                         steady_time Now);
  /// Records that an attempt is about to be sent, and returns what is known of
  /// its connection.
  attempt_connection recordAttempt(const connection_ends &Ends,
                                   steady_time Now);
  void recordClosed(int Descriptor);

private:
  struct connection_use {
    int Descriptor = -1;
    std::uint64_t Number = 0;
    std::size_t Attempts = 0;
    steady_time Since;
  };

  std::map<connection_ends, connection_use> Connections;
  std::uint64_t LastNumber = 0;
};

} // namespace endiverail::detail

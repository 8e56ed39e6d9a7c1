#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace endiverail {

struct peer_message;

/// What a datagram between proxies is sent for.
enum class datagram_purpose {
  /// Pings and their acknowledgements.
  Membership,
  /// A report of work at backend servers.
  Work,
  /// Backend servers that a store reader has read.
  Servers,
  /// A request for missing backend servers, and its answer.
  ServersQuery,
  ServersAnswer,
  /// A new version of the configuration.
  Configuration,
  /// The death of a backend server while it ran a request.
  Death,
  /// Requests of organisations, and the shares of them that may pass.
  Quota,
};

inline constexpr std::array DatagramPurposes{
    datagram_purpose::Membership,    datagram_purpose::Work,
    datagram_purpose::Servers,       datagram_purpose::ServersQuery,
    datagram_purpose::ServersAnswer, datagram_purpose::Configuration,
    datagram_purpose::Death,         datagram_purpose::Quota};

/// Name in metrics and logs.
std::string_view datagramPurposeName(datagram_purpose Purpose);

/// The purpose of a datagram between daemons that use a store.
datagram_purpose purposeOf(const peer_message &Message);

/// Number and size of the datagrams that a process exchanges with its peers, by
/// purpose.
class peer_traffic {
public:
  struct volume {
    std::uint64_t Datagrams = 0;
    std::uint64_t Bytes = 0;

    bool operator==(const volume &) const = default;
  };

  /// Records \p Count datagrams of \p Bytes bytes each.
  void recordSent(datagram_purpose Purpose, std::size_t Count,
                  std::size_t Bytes) {
    add(Sent[index(Purpose)], Count, Bytes);
  }
  void recordReceived(datagram_purpose Purpose, std::size_t Bytes) {
    add(Received[index(Purpose)], 1, Bytes);
  }

  /// Totals since the process started.
  const volume &sent(datagram_purpose Purpose) const {
    return Sent[index(Purpose)];
  }
  const volume &received(datagram_purpose Purpose) const {
    return Received[index(Purpose)];
  }

  /// Logs what was exchanged since the last line, once per period.
  void log(steady_time Now);

private:
  static constexpr milliseconds LogPeriod{5'000};

  using volumes = std::array<volume, DatagramPurposes.size()>;

  static std::size_t index(datagram_purpose Purpose) {
    return static_cast<std::size_t>(Purpose);
  }
  static void add(volume &Volume, std::size_t Count, std::size_t Bytes) {
    Volume.Datagrams += Count;
    Volume.Bytes += Count * Bytes;
  }

  volumes Sent;
  volumes Received;
  /// The totals at the last line.
  volumes LoggedSent;
  volumes LoggedReceived;
  std::optional<steady_time> LastLogged;
};

} // namespace endiverail

#pragma once

#include "base/error_kind.h"
#include "version/fleet_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// A UDP socket for datagrams between proxies.
class datagram_socket {
public:
  /// Binds to \p Address. Fails with BadSettings.
  static result<datagram_socket> create(std::string_view Address);

  datagram_socket(datagram_socket &&Other) noexcept;
  datagram_socket &operator=(datagram_socket &&) = delete;
  datagram_socket(const datagram_socket &) = delete;
  datagram_socket &operator=(const datagram_socket &) = delete;
  ~datagram_socket();

  int descriptor() const { return Descriptor; }

  /// Sends without waiting; a datagram may get lost.
  void send(std::string_view To, std::string_view Bytes);

  /// The next datagram that is there, or nothing.
  std::optional<std::string> receive();

private:
  explicit datagram_socket(int Descriptor) : Descriptor(Descriptor) {}
  int Descriptor;
};

} // namespace endiverail

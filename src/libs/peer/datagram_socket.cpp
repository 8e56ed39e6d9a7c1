#include "peer/datagram_socket.h"

#include "files/daemon_settings.h"
#include "peer/peer_codec.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace endiverail {
namespace {

constexpr int ReceiveBufferBytes = 1024 * 1024;

std::optional<sockaddr_in> socketAddress(std::string_view Endpoint) {
  auto [Host, Port] = splitEndpoint(Endpoint);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

} // namespace

result<datagram_socket> datagram_socket::create(std::string_view Address) {
  auto Bound = socketAddress(Address);
  int Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  datagram_socket Socket(Descriptor);
  setsockopt(Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  if (!Bound || Descriptor < 0 ||
      bind(Descriptor, reinterpret_cast<const sockaddr *>(&*Bound),
           sizeof(*Bound)) != 0)
    return fail(error_kind::BadSettings,
                "can't use UDP on " + std::string(Address));
  return Socket;
}

datagram_socket::datagram_socket(datagram_socket &&Other) noexcept
    : Descriptor(std::exchange(Other.Descriptor, -1)) {}

datagram_socket::~datagram_socket() {
  if (Descriptor >= 0)
    close(Descriptor);
}

void datagram_socket::send(std::string_view To, std::string_view Bytes) {
  auto Address = socketAddress(To);
  if (!Address || Bytes.size() > MostDatagramBytes)
    return;
  [[maybe_unused]] ssize_t Ignored =
      sendto(Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
}

std::optional<std::string> datagram_socket::receive() {
  std::string Bytes(MostDatagramBytes, '\0');
  ssize_t Size = recv(Descriptor, Bytes.data(), Bytes.size(), 0);
  if (Size < 0)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Size));
  return Bytes;
}

} // namespace endiverail

#include "http/connection_io.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace endiverail::detail {

std::optional<std::size_t> sendSome(const Pistache::Tcp::Peer &Peer,
                                    std::string_view Bytes) {
  ssize_t Sent = ::send(Peer.fd(), Bytes.data(), Bytes.size(),
                        MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Sent >= 0)
    return static_cast<std::size_t>(Sent);
  if (errno == EAGAIN || errno == EINTR)
    return 0;
  return std::nullopt;
}

received_piece receiveSome(int Descriptor, std::span<char> Buffer) {
  ssize_t Size = 0;
  do
    Size = ::recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  while (Size < 0 && errno == EINTR);
  if (Size > 0)
    return {receive_state::Data,
            {Buffer.data(), static_cast<std::size_t>(Size)}};
  bool Waits = Size < 0 && errno == EAGAIN;
  return {Waits ? receive_state::Nothing : receive_state::Ended, {}};
}

std::size_t waitingBytes(int Descriptor, std::size_t Max) {
  std::string Bytes(Max, '\0');
  ssize_t Size =
      ::recv(Descriptor, Bytes.data(), Bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  return Size > 0 ? static_cast<std::size_t>(Size) : 0;
}

request_arrival arrivalOf(int Descriptor, steady_time Now) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (::getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return {Now};
  // The smoothed round trip holds the caller's delayed acknowledgements, too.
  constexpr auto NotMeasured = std::numeric_limits<std::uint32_t>::max();
  constexpr std::size_t SizeWithShortest =
      offsetof(tcp_info, tcpi_min_rtt) + sizeof(Info.tcpi_min_rtt);
  bool Measured = Size >= SizeWithShortest && Info.tcpi_min_rtt != NotMeasured;
  return {Now - milliseconds(Info.tcpi_last_data_recv),
          microseconds(Measured ? Info.tcpi_min_rtt : 0)};
}

void breakConnection(const Pistache::Tcp::Peer &Peer) {
  ::shutdown(Peer.fd(), SHUT_RDWR);
}

void endSending(const Pistache::Tcp::Peer &Peer) {
  ::shutdown(Peer.fd(), SHUT_WR);
}

timer_descriptor::timer_descriptor()
    : Descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {}

timer_descriptor::~timer_descriptor() {
  if (Descriptor >= 0)
    close(Descriptor);
}

void timer_descriptor::arm(steady_time At) {
  ArmedFor = At;
  auto SinceBoot = std::chrono::duration_cast<std::chrono::nanoseconds>(
      At.time_since_epoch());
  auto Seconds = std::chrono::floor<std::chrono::seconds>(SinceBoot);
  itimerspec Spec{};
  Spec.it_value.tv_sec = Seconds.count();
  // A value of zero would disarm the timer.
  Spec.it_value.tv_nsec = std::max<long>(1, (SinceBoot - Seconds).count());
  timerfd_settime(Descriptor, TFD_TIMER_ABSTIME, &Spec, nullptr);
}

void timer_descriptor::clear() {
  std::uint64_t Expirations = 0;
  [[maybe_unused]] ssize_t Ignored =
      read(Descriptor, &Expirations, sizeof(Expirations));
  ArmedFor.reset();
}

} // namespace endiverail::detail

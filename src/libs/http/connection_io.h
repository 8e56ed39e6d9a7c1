#pragma once

#include "base/time.h"
#include "request/request_arrival.h"

#include <pistache/peer.h>

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace endiverail::detail {

/// Sends what the socket takes of \p Bytes now and returns how much that was;
/// nothing when the connection is broken. Pistache's own queue is not used: it
/// addresses writes by descriptor number, which may belong to the next caller
/// by the time that the queue is emptied.
std::optional<std::size_t> sendSome(const Pistache::Tcp::Peer &Peer,
                                    std::string_view Bytes);

enum class receive_state { Data, Nothing, Ended };
struct received_piece {
  receive_state State = receive_state::Nothing;
  std::string_view Bytes;
};

/// Reads what a socket has now into \p Buffer, which is not empty.
received_piece receiveSome(int Descriptor, std::span<char> Buffer);

/// Number of bytes that wait to be read from a socket, counted up to \p Max.
std::size_t waitingBytes(int Descriptor, std::size_t Max);

/// When the bytes that were just read from a socket reached this host, as the
/// kernel tells; \p Now if it doesn't.
request_arrival arrivalOf(int Descriptor, steady_time Now);

/// Closes both directions; Pistache then reports the disconnection.
void breakConnection(const Pistache::Tcp::Peer &Peer);

/// Says that nothing more will be sent, while the caller may still send.
void endSending(const Pistache::Tcp::Peer &Peer);

/// A timer descriptor for one thread.
class timer_descriptor {
public:
  timer_descriptor();
  timer_descriptor(const timer_descriptor &) = delete;
  timer_descriptor &operator=(const timer_descriptor &) = delete;
  ~timer_descriptor();

  int descriptor() const { return Descriptor; }
  void arm(steady_time At);
  void clear();
  std::optional<steady_time> armedFor() const { return ArmedFor; }

private:
  int Descriptor;
  std::optional<steady_time> ArmedFor;
};

} // namespace endiverail::detail

#pragma once

#include "base/time.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace endiverail::detail {

/// Writes \p Bytes to \p Peer; \p Written is called on the connection's thread
/// once they have left. Pistache addresses writes by descriptor number: the
/// write holds the peer, and with it the number, until it is done.
void writeTo(const std::shared_ptr<Pistache::Tcp::Peer> &Peer,
             std::string Bytes, std::function<void()> Written);

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

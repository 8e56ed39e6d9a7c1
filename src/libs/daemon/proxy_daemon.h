#pragma once

#include "files/daemon_settings.h"

#include <memory>

namespace endiverail {

/// A whole proxy: its control thread, traffic threads and front end. It lives
/// as long as the process.
class proxy_daemon {
public:
  /// Binds the addresses and starts the threads. Fails with BadSettings or
  /// Internal.
  static result<std::unique_ptr<proxy_daemon>>
  create(const daemon_settings &Settings);

  proxy_daemon(const proxy_daemon &) = delete;
  proxy_daemon &operator=(const proxy_daemon &) = delete;
  ~proxy_daemon();

  /// Ends gracefully: tells the peers, serves on while callers may still hold
  /// this address, finishes what runs, and returns.
  void drain();

private:
  struct parts;
  explicit proxy_daemon(std::unique_ptr<parts> Parts);
  std::unique_ptr<parts> Parts;
};

} // namespace endiverail

#pragma once

#include "base/error_kind.h"
#include "standin/backend_model.h"
#include "standin/log_model.h"
#include "version/host_list.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiverail {

/// A fault that is switched on or off.
struct log_order {
  log_fault Fault = log_fault::None;
};
struct server_order {
  /// One backend server, or all of a pool when Address is empty.
  std::string Address;
  std::string Pool;
  backend_fault_order Fault;
};
struct leaving_order {
  std::string Address;
  bool Leaving = true;
};
struct hosts_order {
  /// The host list does not change any more while frozen.
  bool Frozen = false;
};
using standin_order =
    std::variant<log_order, server_order, leaving_order, hosts_order>;

struct timed_order {
  milliseconds At{0};
  standin_order Order;
};

/// What a stand-in process plays. docs/STANDIN.md describes the file.
struct scenario {
  std::string Platform;
  std::int64_t RetentionMilliseconds = 3'600'000;
  std::vector<entry_host> EntryHosts;
  std::vector<backend_settings> Servers;
  std::vector<timed_order> Orders;
  std::uint64_t Seed = 1;
};

/// Reads and checks a scenario file. Fails with BadSettings.
result<scenario> readScenario(std::string_view FileName, std::string_view Text);

/// Reads one order, as it is sent over HTTP. Fails with BadSettings.
result<standin_order> readOrder(std::string_view Text);

} // namespace endiverail

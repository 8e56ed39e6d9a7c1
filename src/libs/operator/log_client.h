#pragma once

#include "process/control_message.h"
#include "version/configuration_state.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// The log as a command-line program reads and writes it.
class log_client {
public:
  explicit log_client(endpoint_text Server) : Server(std::move(Server)) {}

  /// All records that the log keeps. Fails with StoreUnavailable.
  result<std::vector<log_entry>> readAll();

  /// Appends a record, surely once: when the answer is lost, it looks on the
  /// log whether the record is there before it tries again. Returns the
  /// offset. Fails with StoreUnavailable.
  result<std::uint64_t> append(const log_record &Record);

private:
  result<log_page> readPage(std::uint64_t From);
  result<std::optional<std::uint64_t>> find(const std::string &Text,
                                            std::uint64_t From);

  endpoint_text Server;
};

/// What the records put in force for the given customer keys.
result<configuration_state>
foldRecords(std::span<const log_entry> Entries,
            std::span<const std::string> CustomerKeys);

} // namespace endiverail

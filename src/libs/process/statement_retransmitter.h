#pragma once

#include "process/server_directory.h"

#include <algorithm>
#include <span>
#include <vector>

namespace endiverail {

/// Selects the server statements that a store reader sends to the other
/// daemons. Statements that withdraw a server are sent several times: datagrams
/// may be lost, and the time limit for withdrawn servers is too short to detect
/// the loss by comparing digests.
class statement_retransmitter {
public:
  /// Time from the first transmission to the last. As readers read every 500
  /// ms, each of them sends a statement three times.
  static constexpr milliseconds RetransmitFor{1'200};

  /// Returns the statements to send now: the new ones, and earlier ones that
  /// are due for retransmission.
  std::vector<server_statement>
  nextBatch(std::vector<server_statement> NewStatements, steady_time Now) {
    // A newer statement about a server replaces the earlier one.
    std::erase_if(Pending, [&](const pending_statement &Earlier) {
      return Now > Earlier.FirstSent + RetransmitFor ||
             std::ranges::find(NewStatements, Earlier.Statement.Id,
                               &server_statement::Id) != NewStatements.end();
    });
    std::vector<server_statement> Batch = std::move(NewStatements);
    std::size_t NewCount = Batch.size();
    std::ranges::transform(Pending, std::back_inserter(Batch),
                           &pending_statement::Statement);
    std::ranges::for_each_n(
        Batch.begin(), static_cast<std::ptrdiff_t>(NewCount),
        [&](const server_statement &Statement) {
          if (Statement.Removed ||
              Statement.Entry.Server.State == server_state::Leaving)
            Pending.push_back({Statement, Now});
        });
    return Batch;
  }

private:
  struct pending_statement {
    server_statement Statement;
    steady_time FirstSent;
  };

  std::vector<pending_statement> Pending;
};

} // namespace endiverail

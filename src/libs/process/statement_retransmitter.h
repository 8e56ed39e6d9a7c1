#pragma once

#include "process/server_directory.h"

#include <algorithm>
#include <span>
#include <vector>

namespace endiverail {

/// What a reader of the store tells the other daemons of the backend servers.
/// A statement by which a server gets no more work is told several times:
/// datagrams may get lost, and the time in which it has to be known leaves none
/// for finding out by a digest that it is missing.
class statement_retransmitter {
public:
  /// From the first telling to the last one: with the readers' pause of half a
  /// second each of them tells three times.
  static constexpr milliseconds RetransmitFor{1'200};

  /// What is to be told now: the new statements, and earlier ones again.
  std::vector<server_statement>
  nextBatch(std::vector<server_statement> NewStatements, steady_time Now) {
    // What is newer of a server takes the place of what was told before.
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

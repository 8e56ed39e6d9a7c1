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
class leaving_repeats {
public:
  /// From the first telling to the last one: with the readers' pause of half a
  /// second each of them tells three times.
  static constexpr milliseconds RepeatFor{1'200};

  /// What is to be told now: the new statements, and earlier ones again.
  std::vector<server_statement> next(std::vector<server_statement> New,
                                     steady_time Now) {
    // What is newer of a server takes the place of what was told before.
    std::erase_if(Told, [&](const told &Earlier) {
      return Now > Earlier.First + RepeatFor ||
             std::ranges::find(New, Earlier.Statement.Id,
                               &server_statement::Id) != New.end();
    });
    std::vector<server_statement> Next = std::move(New);
    std::size_t NewCount = Next.size();
    std::ranges::transform(Told, std::back_inserter(Next), &told::Statement);
    std::ranges::for_each_n(Next.begin(), static_cast<std::ptrdiff_t>(NewCount),
                            [&](const server_statement &Statement) {
                              if (Statement.Removed ||
                                  Statement.Entry.Server.State ==
                                      server_state::Leaving)
                                Told.push_back({Statement, Now});
                            });
    return Next;
  }

private:
  struct told {
    server_statement Statement;
    steady_time First;
  };

  std::vector<told> Told;
};

} // namespace endiverail

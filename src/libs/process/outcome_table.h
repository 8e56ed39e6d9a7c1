#pragma once

#include "request/caller_request.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail {

/// A whole answer that can be given again.
struct stored_answer {
  answer_head Head;
  std::string Body;
};

enum class key_state {
  /// Never seen here: the request may run.
  Fresh,
  InProgress,
  Finished,
  /// No room to remember another key, so the request must not run.
  Full,
};

/// Remembers which keyed requests this process has run, so that each runs at
/// most once as long as the process lives and the key's life lasts.
class outcome_table {
public:
  outcome_table(std::size_t MaxBytes, milliseconds KeyLife)
      : MaxBytes(MaxBytes), KeyLife(KeyLife) {}

  /// Registers the key as in progress if it is fresh; says how it stands.
  key_state begin(std::string_view Key, steady_time Now);

  /// The answer of a finished key, or nullptr.
  const stored_answer *find(std::string_view Key) const;

  /// Stores the outcome of a key in progress.
  void finish(std::string_view Key, stored_answer Answer, steady_time Now);

  /// Frees a key whose request is proven not to have run.
  void forget(std::string_view Key);

  /// Drops keys whose life is over.
  void expire(steady_time Now);

  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::optional<stored_answer> Answer;
    steady_time Until;
    std::size_t Bytes = 0;
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  /// Maps and strings cost about this much beside the answer.
  static constexpr std::size_t EntryBytes = 256;

  std::size_t MaxBytes;
  milliseconds KeyLife;
  std::size_t Bytes = 0;
  entry_map Entries;
  /// Keys in the order in which their lives end.
  std::deque<std::pair<steady_time, std::string>> Ends;
};

} // namespace endiverail

#pragma once

#include "request/caller_request.h"
#include "version/key_successors.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail {

/// A whole answer that can be given again.
struct stored_answer {
  response_head Head;
  std::string Body;
};

/// A key with its outcome, as it passes to the heir of a proxy.
struct remembered_key {
  /// "service/key".
  std::string Name;
  proxy_incarnation Issuer;
  stored_answer Answer;

  std::string_view service() const {
    return std::string_view(Name).substr(0, Name.find('/'));
  }
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
  key_state begin(std::string_view Key, const proxy_incarnation &Issuer,
                  steady_time Now);

  bool contains(std::string_view Key) const { return Entries.contains(Key); }

  /// The answer of a finished key, or nullptr.
  const stored_answer *find(std::string_view Key) const;

  /// Stores the outcome of a key in progress.
  void finish(std::string_view Key, stored_answer Answer, steady_time Now);

  /// Frees a key whose request is proven not to have run.
  void forget(std::string_view Key);

  /// The finished keys.
  std::vector<remembered_key> remembered(steady_time Now) const;

  /// Takes a finished key of another process; its life begins anew. Returns
  /// whether there was room.
  bool inherit(const remembered_key &Key, steady_time Now);

  /// Drops keys whose life is over.
  void expire(steady_time Now);

  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    proxy_incarnation Issuer;
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

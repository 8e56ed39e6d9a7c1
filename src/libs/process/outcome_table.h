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

/// A complete response, stored to be replayed.
struct stored_response {
  response_head Head;
  std::string Body;
};

/// A finished key with its outcome, as handed over to the successor of a proxy.
struct remembered_key {
  /// "service/key".
  std::string Name;
  proxy_incarnation Issuer;
  stored_response Response;

  std::string_view service() const {
    return std::string_view(Name).substr(0, Name.find('/'));
  }
};

enum class key_state {
  /// Not in the table before: the request may run.
  New,
  InProgress,
  Finished,
  /// The table has no space for another key, so the request must not run.
  Full,
};

/// Stores the outcomes of requests with an idempotency key. As long as the
/// process lives, it runs each of them at most once until the key expires.
class outcome_table {
public:
  outcome_table(std::size_t MaxBytes, milliseconds KeyLife)
      : MaxBytes(MaxBytes), KeyLife(KeyLife) {}

  /// Registers a new key as in progress. Returns the state before the call, or
  /// Full.
  key_state begin(std::string_view Key, const proxy_incarnation &Issuer,
                  steady_time Now);

  bool contains(std::string_view Key) const { return Entries.contains(Key); }

  /// Returns the response of a finished key, or nullptr.
  const stored_response *find(std::string_view Key) const;

  /// Stores the outcome of a key in progress.
  void finish(std::string_view Key, stored_response Response, steady_time Now);

  /// Removes a key in progress whose request has provably not run.
  void forget(std::string_view Key);

  /// Returns the finished keys that have not expired.
  std::vector<remembered_key> remembered(steady_time Now) const;

  /// Adds a finished key of another process with a full lifetime. Returns false
  /// if the table has no space.
  bool inherit(const remembered_key &Key, steady_time Now);

  /// Removes expired finished keys.
  void expire(steady_time Now);

  std::size_t bytes() const { return Bytes; }
  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    proxy_incarnation Issuer;
    std::optional<stored_response> Response;
    steady_time ExpiresAt;
    std::size_t Bytes = 0;
  };
  using entry_map = std::map<std::string, entry, std::less<>>;

  /// Approximate memory overhead of an entry in addition to key and response.
  static constexpr std::size_t EntryOverheadBytes = 256;

  std::size_t MaxBytes;
  milliseconds KeyLife;
  std::size_t Bytes = 0;
  entry_map Entries;
  /// Keys in order of expiry. A key finished later has a second element.
  std::deque<std::pair<steady_time, std::string>> Expirations;
};

} // namespace endiverail

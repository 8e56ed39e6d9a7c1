#pragma once

#include "base/error_kind.h"
#include "version/rank.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// How many requests of an organisation the whole fleet takes: in any time of t
/// seconds RatePerSecond * t + Burst.
struct request_quota {
  /// Requests a second; 0 if the organisation has no limit.
  double RatePerSecond = 0;
  /// Requests.
  double Burst = 0;

  bool isLimited() const { return RatePerSecond > 0; }
  bool operator==(const request_quota &) const = default;
};

/// An organisation whose members send requests.
struct organisation {
  std::string Name;
  /// Rank of its requests, which goes before that of the route; unset if the
  /// configuration gives none.
  std::optional<rank> Rank{};
  request_quota Quota{};
};

/// An organisation as the configuration defines it.
struct organisation_definition {
  organisation Organisation;
  /// The keys by which its members' requests are recognised.
  std::vector<std::string> AccessKeys;
};

/// Hash of an access key. It differs from process to process and must not leave
/// this one.
using access_key_hash = std::uint64_t;

access_key_hash hashAccessKey(std::string_view AccessKey);

/// The organisations of one version with their access keys; immutable once
/// built. Takes the length of each key and 24 bytes for it, beside the names.
class organisation_table {
public:
  /// Fails with BadRecord if a name or a key is empty, two organisations have
  /// the same name or share a key, or a quota is negative or not finite. The
  /// detail contains no key.
  static result<std::shared_ptr<const organisation_table>>
  build(std::vector<organisation_definition> Definitions);

  /// Returns the organisation that holds \p AccessKey, or nullptr. How long
  /// this takes does not tell how much of a key has matched.
  const organisation *findByKey(std::string_view AccessKey) const;

  /// Returns whether any organisation holds a key with this hash.
  bool holdsKey(access_key_hash Hash) const;

  /// Returns the organisation called \p Name, or nullptr.
  const organisation *find(std::string_view Name) const;

  /// Sorted by name.
  std::span<const organisation> organisations() const { return Organisations; }

private:
  struct key_entry {
    access_key_hash Hash = 0;
    /// Where the key begins in KeyText, and its length.
    std::uint32_t Begin = 0;
    std::uint32_t Length = 0;
    std::uint32_t Organisation = 0;
  };

  std::string_view textOf(const key_entry &Entry) const {
    return std::string_view(KeyText).substr(Entry.Begin, Entry.Length);
  }
  /// The entries with this hash.
  std::span<const key_entry> entriesOf(access_key_hash Hash) const;
  result<void> addKeys(std::uint32_t Organisation,
                       std::span<const std::string> AccessKeys);
  result<void> checkKeys() const;

  std::vector<organisation> Organisations;
  /// All keys, one after the other.
  std::string KeyText;
  /// Sorted by hash.
  std::vector<key_entry> Keys;
};

using organisation_table_ref = std::shared_ptr<const organisation_table>;

} // namespace endiverail

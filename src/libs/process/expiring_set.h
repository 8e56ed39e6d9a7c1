#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <ranges>
#include <vector>

namespace endiverail {

/// A set whose items expire some time after they were last inserted.
template <std::totally_ordered Item> class expiring_set {
public:
  /// Keeps at most \p Limit items; when full, the item inserted least recently
  /// is removed.
  expiring_set(milliseconds Lifetime, std::size_t Limit)
      : Lifetime(Lifetime), Limit(Limit) {}

  /// Inserts an item or renews its expiry. Returns whether it was not in the
  /// set.
  bool insert(const Item &Value, steady_time Now) {
    bool New = LastInserted.insert_or_assign(Value, Now).second;
    if (LastInserted.size() > Limit)
      LastInserted.erase(std::ranges::min_element(
          LastInserted, {}, [](const auto &Entry) { return Entry.second; }));
    return New;
  }

  template <typename Key> bool contains(const Key &Value) const {
    return LastInserted.contains(Value);
  }

  /// Removes and returns the expired items.
  std::vector<Item> expire(steady_time Now) {
    std::vector<Item> Expired;
    std::erase_if(LastInserted, [&](const auto &Entry) {
      if (Now - Entry.second < Lifetime)
        return false;
      Expired.push_back(Entry.first);
      return true;
    });
    return Expired;
  }

  std::size_t size() const { return LastInserted.size(); }

  std::vector<Item> items() const {
    auto Keys = LastInserted | std::views::keys;
    return {Keys.begin(), Keys.end()};
  }

private:
  milliseconds Lifetime;
  std::size_t Limit;
  std::map<Item, steady_time, std::less<>> LastInserted;
};

} // namespace endiverail

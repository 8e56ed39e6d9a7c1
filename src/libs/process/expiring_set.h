#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <ranges>
#include <vector>

namespace endiverail {

/// Remembers items for a while after they were last heard of.
template <std::totally_ordered Item> class expiring_set {
public:
  /// At most \p Limit items are kept; the one heard of longest ago goes first.
  expiring_set(milliseconds Lifetime, std::size_t Limit)
      : Lifetime(Lifetime), Limit(Limit) {}

  /// Notes an item. Returns whether it was not remembered.
  bool insert(const Item &Value, steady_time Now) {
    bool New = LastInserted.insert_or_assign(Value, Now).second;
    if (LastInserted.size() > Limit)
      LastInserted.erase(std::ranges::min_element(
          LastInserted, {}, [](const auto &Entry) { return Entry.second; }));
    return New;
  }

  template <typename Key> bool contains(const Key &Wanted) const {
    return LastInserted.contains(Wanted);
  }

  /// Forgets what was not heard of for long enough, and returns it.
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

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
template <std::totally_ordered Item> class recent_set {
public:
  /// At most \p Limit items are kept; the one heard of longest ago goes first.
  recent_set(milliseconds Memory, std::size_t Limit)
      : Memory(Memory), Limit(Limit) {}

  /// Notes an item. Returns whether it was not remembered.
  bool note(const Item &Heard, steady_time Now) {
    bool New = LastHeard.insert_or_assign(Heard, Now).second;
    if (LastHeard.size() > Limit)
      LastHeard.erase(std::ranges::min_element(
          LastHeard, {}, [](const auto &Entry) { return Entry.second; }));
    return New;
  }

  template <typename Key> bool contains(const Key &Wanted) const {
    return LastHeard.contains(Wanted);
  }

  /// Forgets what was not heard of for long enough, and returns it.
  std::vector<Item> expire(steady_time Now) {
    std::vector<Item> Forgotten;
    std::erase_if(LastHeard, [&](const auto &Entry) {
      if (Now - Entry.second < Memory)
        return false;
      Forgotten.push_back(Entry.first);
      return true;
    });
    return Forgotten;
  }

  std::vector<Item> items() const {
    auto Keys = LastHeard | std::views::keys;
    return {Keys.begin(), Keys.end()};
  }

private:
  milliseconds Memory;
  std::size_t Limit;
  std::map<Item, steady_time, std::less<>> LastHeard;
};

} // namespace endiverail

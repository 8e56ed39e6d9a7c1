#pragma once

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <vector>

namespace endiverail {

/// Items that are piggybacked on datagrams: each on a certain number of them,
/// the latest first.
template <std::equality_comparable Item> class gossip_queue {
public:
  /// \p Copies datagrams carry each item, and none carries more than
  /// \p PerMessage items.
  gossip_queue(std::size_t Copies, std::size_t PerMessage)
      : Copies(Copies), PerMessage(PerMessage) {}

  /// Adds an item, unless it is already queued.
  void add(Item Value) {
    if (std::ranges::find(Pending, Value, &pending_item::Value) ==
        Pending.end())
      Pending.insert(Pending.begin(), {std::move(Value), 0});
  }

  template <std::predicate<const Item &> Predicate>
  void removeIf(Predicate &&Obsolete) {
    std::erase_if(Pending, [&](const pending_item &Each) {
      return Obsolete(Each.Value);
    });
  }

  /// The items for one datagram.
  std::vector<Item> takeForMessage() {
    std::vector<Item> Taken;
    for (pending_item &Each : Pending | std::views::take(PerMessage)) {
      Taken.push_back(Each.Value);
      ++Each.Sent;
    }
    std::erase_if(
        Pending, [&](const pending_item &Each) { return Each.Sent >= Copies; });
    return Taken;
  }

  /// Items that are still being sent.
  std::size_t size() const { return Pending.size(); }

private:
  struct pending_item {
    Item Value;
    std::size_t Sent = 0;
  };

  std::size_t Copies;
  std::size_t PerMessage;
  std::vector<pending_item> Pending;
};

} // namespace endiverail

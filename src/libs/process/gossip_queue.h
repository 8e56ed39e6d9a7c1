#pragma once

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <vector>

namespace endiverail {

/// Items that are piggybacked on a limited number of datagrams each, the most
/// recent item first.
template <std::equality_comparable Item> class gossip_queue {
public:
  /// Sends each item with \p TransmitLimit datagrams, and at most \p
  /// MaxPerMessage items with one datagram.
  gossip_queue(std::size_t TransmitLimit, std::size_t MaxPerMessage)
      : TransmitLimit(TransmitLimit), MaxPerMessage(MaxPerMessage) {}

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

  /// Returns the items for the next datagram, and removes those that have
  /// reached the transmit limit.
  std::vector<Item> takeForMessage() {
    std::vector<Item> Taken;
    for (pending_item &Each : Pending | std::views::take(MaxPerMessage)) {
      Taken.push_back(Each.Value);
      ++Each.Sent;
    }
    std::erase_if(Pending, [&](const pending_item &Each) {
      return Each.Sent >= TransmitLimit;
    });
    return Taken;
  }

  /// Number of items that are still being sent.
  std::size_t size() const { return Pending.size(); }

private:
  struct pending_item {
    Item Value;
    std::size_t Sent = 0;
  };

  std::size_t TransmitLimit;
  std::size_t MaxPerMessage;
  std::vector<pending_item> Pending;
};

} // namespace endiverail

#pragma once

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <vector>

namespace endiverail {

/// News that go along with datagrams: each piece with a certain number of
/// them, the latest first.
template <std::equality_comparable Item> class gossip_queue {
public:
  /// \p Copies datagrams carry each piece, and none carries more than
  /// \p PerMessage pieces.
  gossip_queue(std::size_t TransmitLimit, std::size_t MaxPerMessage)
      : TransmitLimit(TransmitLimit), MaxPerMessage(MaxPerMessage) {}

  /// Adds a piece, unless it is being told already.
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

  /// The pieces for one datagram.
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

  /// Pieces that are still being told.
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

#pragma once

#include <algorithm>
#include <cstddef>
#include <ranges>
#include <vector>

namespace endiverail {

/// News that go along with datagrams: each piece with a certain number of
/// them, the latest first.
template <std::equality_comparable News> class gossip_news {
public:
  /// \p Copies datagrams carry each piece, and none carries more than
  /// \p PerMessage pieces.
  gossip_news(std::size_t Copies, std::size_t PerMessage)
      : Copies(Copies), PerMessage(PerMessage) {}

  /// Adds a piece, unless it is being told already.
  void add(News Piece) {
    if (std::ranges::find(Pending, Piece, &pending_piece::Piece) ==
        Pending.end())
      Pending.insert(Pending.begin(), {std::move(Piece), 0});
  }

  template <std::predicate<const News &> Predicate>
  void dropIf(Predicate &&Obsolete) {
    std::erase_if(Pending, [&](const pending_piece &Each) {
      return Obsolete(Each.Piece);
    });
  }

  /// The pieces for one datagram.
  std::vector<News> forMessage() {
    std::vector<News> Told;
    for (pending_piece &Each : Pending | std::views::take(PerMessage)) {
      Told.push_back(Each.Piece);
      ++Each.Sent;
    }
    std::erase_if(Pending, [&](const pending_piece &Each) {
      return Each.Sent >= Copies;
    });
    return Told;
  }

  /// Pieces that are still being told.
  std::size_t size() const { return Pending.size(); }

private:
  struct pending_piece {
    News Piece;
    std::size_t Sent = 0;
  };

  std::size_t Copies;
  std::size_t PerMessage;
  std::vector<pending_piece> Pending;
};

} // namespace endiverail

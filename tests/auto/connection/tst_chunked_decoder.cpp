#include "connection/caller_connection.h"
#include "failure_check.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>

using namespace endiverail;
using namespace endiverail::test;

namespace {

const framing_limits Limits{1024, 16 * 1024 * 1024, true};

std::string inChunks(std::size_t ChunkBytes, std::size_t BodyBytes) {
  std::string Size(16, '\0');
  Size.resize(static_cast<std::size_t>(
      std::snprintf(Size.data(), Size.size(), "%zx", ChunkBytes)));
  std::string Chunk = Size + "\r\n" + std::string(ChunkBytes, 'p') + "\r\n";
  std::string Text;
  for (std::size_t Done = 0; Done < BodyBytes; Done += ChunkBytes)
    Text += Chunk;
  return Text + "0\r\n\r\n";
}

/// Calls \p Use with the pieces of \p Text.
template <typename Function>
void forPieces(std::string_view Text, std::size_t PieceBytes, Function &&Use) {
  for (; !Text.empty(); Text.remove_prefix(std::min(PieceBytes, Text.size())))
    Use(Text.substr(0, PieceBytes));
}

/// What a decoder makes of text that comes in pieces of that size.
struct decoded {
  std::string Body;
  std::size_t Used = 0;
  bool Complete = false;
  std::optional<error_kind> Failure;
  bool operator==(const decoded &) const = default;
};

decoded decodeInPieces(std::string_view Text, std::size_t PieceBytes) {
  chunked_decoder Decoder({1024, 100, true});
  decoded Seen;
  forPieces(Text, PieceBytes, [&](std::string_view Piece) {
    if (Seen.Failure || Seen.Complete)
      return;
    Seen.Failure = failureOf([&]() -> result<void> {
      BOOST_LEAF_AUTO(Used, Decoder.decode(Piece, Seen.Body));
      Seen.Used += Used;
      return {};
    });
    Seen.Complete = Decoder.complete();
  });
  if (Seen.Failure)
    return {{}, 0, false, Seen.Failure};
  return Seen;
}

} // namespace

TEST_CASE("a chunked body is read alike whatever pieces it comes in") {
  auto Text = GENERATE(
      as<std::string>(), "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nGET",
      "1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n", "0\r\n\r\n", "3\r\nab", "\r\nabc\r\n",
      "-1\r\n", "0x3\r\nabc\r\n", "1\r\nabc\r\n", "1\r\na\n0\r\n\r\n",
      "1\r\na\r0\r\n\r\n", "1\na\n0\n\n", "1;\nx\r\na\r\n0\r\n\r\n", "65\r\n",
      "64\r\n", "11111111111111111\r\n", std::string(257, '1'),
      std::string(255, '0') + "0\r\n\r\n", std::string(256, '0') + "0\r\n\r\n",
      "0\r\n" + std::string(2000, 'x'),
      "0\r\n" + std::string(600, 'x') + "\r\n" + std::string(600, 'x') +
          "\r\n\r\n");
  INFO(Text);
  decoded Whole = decodeInPieces(Text, Text.size());
  for (std::size_t PieceBytes : {1, 2, 3, 7, 100})
    CHECK(decodeInPieces(Text, PieceBytes) == Whole);
}

TEST_CASE("a request is read alike whatever pieces it comes in") {
  auto PieceBytes = GENERATE(1, 3, 16, 1'000);
  std::string Text = "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
                     "POST /2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nefg"
                     "GET /3 HTTP/1.1\r\n\r\n";
  caller_connection Connection(Limits);
  std::string Seen;
  forPieces(Text, static_cast<std::size_t>(PieceBytes),
            [&](std::string_view Piece) {
              REQUIRE(Connection.receive(Piece));
              while (auto Request = valueOf(Connection.takeRequest())) {
                Seen += Request->Frame.Target + Request->Body;
                CHECK(Request->Frame.BodyBytes == Request->Body.size());
                Connection.finishResponse();
              }
            });
  CHECK(Seen == "/1abcd/2efg/3");
  CHECK_FALSE(Connection.hasBytes());
  CHECK(Connection.heldBytes() == 0);
}

TEST_CASE("only the decoded bytes of a chunked body are held") {
  constexpr std::size_t BodyBytes = 10'000;
  caller_connection Connection(Limits);
  std::string Head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  REQUIRE(Connection.receive(Head));
  std::string Text = inChunks(1, BodyBytes);
  Text.pop_back();
  forPieces(Text, 1'000, [&](std::string_view Piece) {
    REQUIRE(Connection.receive(Piece));
    CHECK_FALSE(valueOf(Connection.takeRequest()));
  });
  CHECK(Connection.unreadBytes() == 0);
  CHECK(Connection.heldBytes() == Head.size() + BodyBytes);
}

/// Not run by default: prints the time for each byte of a connection, which
/// must not grow with the size of the body.
TEST_CASE("cost of a chunked body", "[.benchmark]") {
  constexpr std::size_t KiB = 1024;
  for (std::size_t PieceBytes : {std::size_t{1}, 64 * KiB})
    for (std::size_t ChunkBytes : {std::size_t{1}, 64 * KiB})
      for (std::size_t BodyBytes : {64 * KiB, 512 * KiB, 4096 * KiB}) {
        std::string Text = inChunks(ChunkBytes, BodyBytes);
        caller_connection Connection(Limits);
        REQUIRE(Connection.receive(
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
        auto Begin = std::chrono::steady_clock::now();
        std::size_t Requests = 0;
        forPieces(Text, PieceBytes, [&](std::string_view Piece) {
          REQUIRE(Connection.receive(Piece));
          Requests += valueOf(Connection.takeRequest()) ? 1 : 0;
        });
        std::chrono::duration<double, std::nano> Time =
            std::chrono::steady_clock::now() - Begin;
        CHECK(Requests == 1);
        std::cout << "pieces of " << PieceBytes << ", chunks of " << ChunkBytes
                  << ", body of " << BodyBytes << ": "
                  << Time.count() / static_cast<double>(Text.size())
                  << " ns a byte\n";
      }
}

#include "connection/request_framing.h"
#include "failure_check.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

struct refused_row {
  const char *What;
  std::string Bytes;
  error_kind Kind;
};

const framing_limits Limits{1024, 100};

} // namespace

TEST_CASE("bodies in chunks are read where they are accepted") {
  framing_limits Chunks = Limits;
  Chunks.AcceptsChunked = true;
  struct row {
    const char *What;
    std::string Bytes;
    std::optional<std::string> Body;
    std::size_t Left;
  };
  const row Rows[]{
      {"one chunk", "3\r\nabc\r\n0\r\n\r\n", "abc", 0},
      {"two chunks and a request behind",
       "3\r\nabc\r\nA\r\n0123456789\r\n"
       "0\r\n\r\nGET",
       "abc0123456789", 3},
      {"an extension and a trailer", "1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n", "a", 0},
      {"nothing", "0\r\n\r\n", "", 0},
      {"a chunk on its way", "3\r\nab", std::nullopt, 0},
      {"a trailer on its way", "0\r\nT: 1\r\n", std::nullopt, 0},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    auto Read = valueFrom([&] { return readChunkedBody(Row.Bytes, Chunks); });
    REQUIRE(Read.has_value() == Row.Body.has_value());
    if (!Read)
      continue;
    CHECK(Read->Body == *Row.Body);
    CHECK(Read->EncodedBytes == Row.Bytes.size() - Row.Left);
  }
  const refused_row Refused[]{
      {"no size", "\r\nabc\r\n", error_kind::BadRequest},
      {"a signed size", "-1\r\n", error_kind::BadRequest},
      {"a size with a prefix", "0x3\r\nabc\r\n", error_kind::BadRequest},
      {"a chunk that is longer", "1\r\nabc\r\n", error_kind::BadRequest},
      {"an endless size", std::string(300, '1'), error_kind::BadRequest},
      {"more than a body may hold", "65\r\n", error_kind::BodyTooLarge},
      {"a size beyond 64 bits", "11111111111111111\r\n",
       error_kind::BadRequest},
      {"an endless trailer", "0\r\n" + std::string(2000, 'x'),
       error_kind::BadRequest},
  };
  for (const refused_row &Row : Refused) {
    INFO(Row.What);
    CHECK(failureOf([&] { return readChunkedBody(Row.Bytes, Chunks); }) ==
          Row.Kind);
  }
}

TEST_CASE("only plain chunks are accepted, and never beside a length") {
  framing_limits Chunks = Limits;
  Chunks.AcceptsChunked = true;
  const refused_row Rows[]{
      {"a length with chunks",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       error_kind::BadRequest},
      {"two codings",
       "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       error_kind::BadRequest},
      {"two fields",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       error_kind::BadRequest},
      {"identity", "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
       error_kind::BadRequest},
      {"HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
       error_kind::BadRequest},
  };
  for (const refused_row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return frameRequest(Row.Bytes, Chunks); }) ==
          Row.Kind);
  }
}

TEST_CASE("heads that two readers could read differently are refused") {
  using enum error_kind;
  const refused_row Rows[]{
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
       BadRequest},
      {"two equal lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
       BadRequest},
      {"two lengths, names in other case",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-LENGTH: 2\r\n\r\n",
       BadRequest},
      {"a length with chunks",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       BadRequest},
      {"chunks alone", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
       LengthRequired},
      {"a signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
       BadRequest},
      {"a negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
       BadRequest},
      {"a list of lengths", "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
       BadRequest},
      {"a hexadecimal length", "POST / HTTP/1.1\r\nContent-Length: 0x1\r\n\r\n",
       BadRequest},
      {"a length beyond 64 bits",
       "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
       BadRequest},
      {"an empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n",
       BadRequest},
      {"a blank before the colon",
       "POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", BadRequest},
      {"a folded line", "GET / HTTP/1.1\r\nX: 1\r\n 2\r\n\r\n", BadRequest},
      {"a bare line feed", "GET / HTTP/1.1\r\nX: 1\nY: 2\r\n\r\n", BadRequest},
      {"a field without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n",
       BadRequest},
      {"a nameless field", "GET / HTTP/1.1\r\n: 1\r\n\r\n", BadRequest},
      {"a NUL in a value", std::string("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n", 27),
       BadRequest},
      {"a target without slash", "GET x HTTP/1.1\r\n\r\n", BadRequest},
      {"an absolute target", "GET http://x/ HTTP/1.1\r\n\r\n", BadRequest},
      {"two blanks", "GET  / HTTP/1.1\r\n\r\n", BadRequest},
      {"no version", "GET /\r\n\r\n", BadRequest},
      {"version 2", "GET / HTTP/2.0\r\n\r\n", BadRequest},
      {"an odd method", "BREW / HTTP/1.1\r\n\r\n", MethodNotSupported},
      {"CONNECT", "CONNECT / HTTP/1.1\r\n\r\n", MethodNotSupported},
      {"an oversize body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
       BodyTooLarge},
      {"an endless head", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x'),
       HeadTooLarge},
  };
  for (const refused_row &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return frameRequest(Row.Bytes, Limits); }) ==
          Row.Kind);
  }
}

TEST_CASE("a request's bounds are found whatever follows") {
  std::string Bytes = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX: 1\r\nX: 2\r\n"
                      "Content-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\n\r\n";
  auto Frame = valueOf(frameRequest(Bytes, Limits));
  REQUIRE(Frame);
  CHECK(Frame->Method == "POST");
  CHECK(Frame->Target == "/a/b?c=d");
  CHECK(Frame->Fields.size() == 4);
  CHECK(Bytes.substr(Frame->HeadBytes, Frame->BodyBytes) == "abc");
  CHECK(Frame->KeepAlive);
}

TEST_CASE("a head that is cut anywhere is awaited") {
  std::string Whole = "GET /x HTTP/1.1\r\nHost: y\r\n\r\n";
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK_FALSE(valueOf(frameRequest(Whole.substr(0, Size), Limits)));
}

TEST_CASE("the connection is kept as the version and the caller say") {
  struct row {
    const char *Bytes;
    bool KeepAlive;
  };
  const row Rows[]{
      {"GET / HTTP/1.1\r\n\r\n", true},
      {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", false},
      {"GET / HTTP/1.0\r\n\r\n", false},
      {"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", true},
  };
  for (const row &Row : Rows) {
    INFO(Row.Bytes);
    CHECK(valueOf(frameRequest(Row.Bytes, Limits))->KeepAlive == Row.KeepAlive);
  }
}

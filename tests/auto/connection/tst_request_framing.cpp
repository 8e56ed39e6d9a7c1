#include "connection/request_framing.h"
#include "failure_check.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;

namespace {

struct rejected_case {
  const char *What;
  std::string Bytes;
  error_kind Kind;
};

const framing_limits Limits{1024, 100};

} // namespace

TEST_CASE("chunked bodies are decoded") {
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
      {"two chunks followed by a request",
       "3\r\nabc\r\nA\r\n0123456789\r\n"
       "0\r\n\r\nGET",
       "abc0123456789", 3},
      {"extension and trailer", "1;x=y\r\na\r\n0\r\nT: 1\r\n\r\n", "a", 0},
      {"empty body", "0\r\n\r\n", "", 0},
      {"incomplete chunk", "3\r\nab", std::nullopt, 0},
      {"incomplete trailer", "0\r\nT: 1\r\n", std::nullopt, 0},
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
  const rejected_case Rejected[]{
      {"missing size", "\r\nabc\r\n", error_kind::BadRequest},
      {"signed size", "-1\r\n", error_kind::BadRequest},
      {"size with a prefix", "0x3\r\nabc\r\n", error_kind::BadRequest},
      {"chunk longer than its size", "1\r\nabc\r\n", error_kind::BadRequest},
      {"overlong size", std::string(300, '1'), error_kind::BadRequest},
      {"body over the limit", "65\r\n", error_kind::BodyTooLarge},
      {"size exceeding 64 bits", "11111111111111111\r\n",
       error_kind::BadRequest},
      {"overlong trailer line", "0\r\n" + std::string(2000, 'x'),
       error_kind::BadRequest},
  };
  for (const rejected_case &Row : Rejected) {
    INFO(Row.What);
    CHECK(failureOf([&] { return readChunkedBody(Row.Bytes, Chunks); }) ==
          Row.Kind);
  }
}

TEST_CASE("only the plain chunked coding is accepted, without a length") {
  framing_limits Chunks = Limits;
  Chunks.AcceptsChunked = true;
  const rejected_case Rows[]{
      {"length with chunked coding",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       error_kind::BadRequest},
      {"two transfer codings",
       "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
       error_kind::BadRequest},
      {"two Transfer-Encoding fields",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       error_kind::BadRequest},
      {"identity", "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
       error_kind::BadRequest},
      {"HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
       error_kind::BadRequest},
  };
  for (const rejected_case &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return frameRequest(Row.Bytes, Chunks); }) ==
          Row.Kind);
  }
}

TEST_CASE("ambiguous request heads are rejected") {
  using enum error_kind;
  const rejected_case Rows[]{
      {"two lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
       BadRequest},
      {"two equal lengths",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
       BadRequest},
      {"two lengths with differently cased names",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\ncontent-LENGTH: 2\r\n\r\n",
       BadRequest},
      {"length with chunked coding",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
       "chunked\r\n\r\n",
       BadRequest},
      {"chunked coding without a length",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", LengthRequired},
      {"a signed length", "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
       BadRequest},
      {"a negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
       BadRequest},
      {"list of lengths", "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
       BadRequest},
      {"a hexadecimal length", "POST / HTTP/1.1\r\nContent-Length: 0x1\r\n\r\n",
       BadRequest},
      {"length exceeding 64 bits",
       "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
       BadRequest},
      {"an empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n",
       BadRequest},
      {"space before the colon",
       "POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\n", BadRequest},
      {"a folded line", "GET / HTTP/1.1\r\nX: 1\r\n 2\r\n\r\n", BadRequest},
      {"a bare line feed", "GET / HTTP/1.1\r\nX: 1\nY: 2\r\n\r\n", BadRequest},
      {"field without a colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n",
       BadRequest},
      {"empty field name", "GET / HTTP/1.1\r\n: 1\r\n\r\n", BadRequest},
      {"a NUL in a value", std::string("GET / HTTP/1.1\r\nX: a\0b\r\n\r\n", 27),
       BadRequest},
      {"a target without slash", "GET x HTTP/1.1\r\n\r\n", BadRequest},
      {"an absolute target", "GET http://x/ HTTP/1.1\r\n\r\n", BadRequest},
      {"two spaces", "GET  / HTTP/1.1\r\n\r\n", BadRequest},
      {"missing version", "GET /\r\n\r\n", BadRequest},
      {"version 2", "GET / HTTP/2.0\r\n\r\n", BadRequest},
      {"unknown method", "BREW / HTTP/1.1\r\n\r\n", MethodNotSupported},
      {"CONNECT", "CONNECT / HTTP/1.1\r\n\r\n", MethodNotSupported},
      {"oversized body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
       BodyTooLarge},
      {"oversized head", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'x'),
       HeadTooLarge},
  };
  for (const rejected_case &Row : Rows) {
    INFO(Row.What);
    CHECK(failureOf([&] { return frameRequest(Row.Bytes, Limits); }) ==
          Row.Kind);
  }
}

TEST_CASE("a request is delimited regardless of the following data") {
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

TEST_CASE("an incomplete head is awaited") {
  std::string Whole = "GET /x HTTP/1.1\r\nHost: y\r\n\r\n";
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK_FALSE(valueOf(frameRequest(Whole.substr(0, Size), Limits)));
}

TEST_CASE(
    "keep-alive depends on the protocol version and the Connection field") {
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

TEST_CASE("no interim response is asked for by HTTP/1.0") {
  struct row {
    std::string Version;
    bool Expects;
  };
  for (const row &Row : {row{"HTTP/1.1", true}, row{"HTTP/1.0", false}}) {
    INFO(Row.Version);
    auto Frame = valueFrom([&] {
      return frameRequest("POST / " + Row.Version +
                              "\r\nContent-Length: 2\r\nExpect: "
                              "100-continue\r\n\r\n",
                          Limits);
    });
    REQUIRE(Frame);
    CHECK(Frame->ExpectsContinue == Row.Expects);
  }
}

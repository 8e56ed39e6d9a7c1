#include "http/answer_text.h"

#include <catch2/catch.hpp>

using namespace endiverail;

TEST_CASE("an answer's head says how its body ends") {
  response_head Head;
  Head.Length = 5;
  Head.Headers.push_back({"X", "1"});
  CHECK(answerHeadText(Head, body_framing::Length, true) ==
        "HTTP/1.1 200 OK\r\nX: 1\r\nEndiverail-Outcome: done\r\n"
        "Content-Length: 5\r\nConnection: keep-alive\r\n\r\n");
  CHECK(answerHeadText(Head, body_framing::Chunked, false)
            .ends_with("Transfer-Encoding: chunked\r\nConnection: "
                       "close\r\n\r\n"));
  Head.Status = 204;
  CHECK(
      answerHeadText(Head, body_framing::Length, true).find("Content-Length") ==
      std::string::npos);
}

TEST_CASE("chunks carry their size in hexadecimal") {
  CHECK(chunkText(std::string(26, 'x')) ==
        "1a\r\n" + std::string(26, 'x') + "\r\n");
}

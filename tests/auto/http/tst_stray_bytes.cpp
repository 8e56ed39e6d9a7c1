#include "attempt_runner.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

struct server_answer {
  const char *What;
  int Status;
  std::string Bytes;
  std::string Body;
};

std::vector<server_answer> answersNaming(const std::string &Mark) {
  const std::string Named = "X-Mark: " + Mark + "\r\n";
  const std::string Body = "body of " + Mark;
  const std::string Length =
      "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return {
      {"success", 200, "HTTP/1.1 200 OK\r\n" + Named + Length + "\r\n" + Body,
       Body},
      {"rejection", 404,
       "HTTP/1.1 404 Not Found\r\nX-First: some text\r\n" + Named + Length +
           "\r\n" + Body,
       Body},
      {"failure in chunks", 500,
       "HTTP/1.1 500 Internal Server Error\r\n" + Named +
           "Transfer-Encoding: chunked\r\n\r\nb\r\n" + Body + "\r\n0\r\n\r\n",
       Body},
      {"success without length", 200,
       "HTTP/1.1 200 OK\r\n" + Named + "\r\n" + Body, Body},
      {"no content", 204, "HTTP/1.1 204 No Content\r\n" + Named + "\r\n", ""},
  };
}

} // namespace

TEST_CASE("the beginning of another answer in front changes no answer") {
  for (const server_answer &Copy : answersNaming("one"))
    for (const server_answer &Own : answersNaming("two"))
      for (std::size_t Cut = 1; Cut < Copy.Bytes.size(); ++Cut) {
        INFO("a copy of a " << Copy.What << " cut after " << Cut
                            << " bytes, then a " << Own.What);
        raw_server Server([&](raw_connection Connection, std::size_t) {
          Connection.readUntil("\r\n\r\n");
          Connection.send(Copy.Bytes.substr(0, Cut) + Own.Bytes);
        });
        std::string Endpoint = Server.endpoint();
        attempt_runner Runner;
        attempt_request Request = attempt_runner::request("GET", Endpoint);
        Request.AcceptsUnframed = true;
        attempt_end End = Runner.run(Request);
        // The identifier is compared by whoever gets the head.
        if (End.Failure || findHeader(Runner.Head.Headers, "X-Mark") != "two")
          continue;
        CHECK(Runner.Head.Status == Own.Status);
        CHECK(Runner.Body == Own.Body);
      }
}

#include "request/message_fields.h"

#include <catch2/catch.hpp>

using namespace endiverail;

TEST_CASE("only end-to-end fields of the caller are forwarded") {
  const std::vector<header_field> Fields{{"Host", "x"},
                                         {"Connection", "close, X-Own"},
                                         {"X-Own", "1"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"Content-Length", "3"},
                                         {"endiverail-outcome", "done"},
                                         {"Cookie", "a"},
                                         {"Cookie", "b"},
                                         {"Expect", "100-continue"}};
  std::vector<std::string> Names;
  for (const header_field &Field : endToEndFields(Fields))
    Names.push_back(Field.Name + "=" + Field.Value);
  CHECK(Names == std::vector<std::string>{"Host=x", "Cookie=a", "Cookie=b"});
}

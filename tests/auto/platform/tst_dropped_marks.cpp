#include "platform/caller_dialect.h"

#include <catch2/catch.hpp>

#include <string>

using namespace endiverail;
using platform::caller_dialect;

TEST_CASE("a target's mark that the Connection field names is not dropped from "
          "an answer that counts as marked") {
  const std::string Mark =
      GENERATE("Endiverail-Response-Signature", "endiverail-response-signature",
               "Endiverail-Attempt-Identifier");
  backend_response_head Head{200,
                             {{"Endiverail-Attempt-Identifier", "id-1"},
                              {"Endiverail-Response-Signature", "s"}},
                             0};
  if (GENERATE(true, false)) {
    Head.Headers.push_back({"Connection", "close, " + Mark});
  } else {
    Head.Headers.push_back({"Connection", "close"});
    Head.Headers.push_back({"connection", Mark});
  }
  if (caller_dialect::classify(Head, "id-1", false).Error)
    return;
  response_head Forwarded = caller_dialect::callerHead(Head, false);
  CHECK(findHeader(Forwarded.Headers, "Endiverail-Response-Signature") == "s");
  CHECK(findHeader(Forwarded.Headers, "Endiverail-Attempt-Identifier") ==
        "id-1");
}

TEST_CASE("a field that any of several Connection fields names is not passed "
          "on") {
  backend_response_head Head{200,
                             {{"Endiverail-Attempt-Identifier", "id-1"},
                              {"Endiverail-Response-Signature", "s"},
                              {"Connection", "close"},
                              {"Connection", "X-Hop"},
                              {"X-Hop", "1"},
                              {"X-Other", "2"}},
                             0};
  REQUIRE_FALSE(caller_dialect::classify(Head, "id-1", false).Error);
  response_head Forwarded = caller_dialect::callerHead(Head, false);
  CHECK(findHeader(Forwarded.Headers, "X-Hop").empty());
  CHECK(findHeader(Forwarded.Headers, "X-Other") == "2");
}

#include "platform/caller_dialect.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using platform::caller_dialect;

TEST_CASE("a target's mark that the Connection field names is not dropped from "
          "an answer that counts as marked") {
  backend_response_head Head{
      200,
      {{"Endiverail-Attempt-Identifier", "id-1"},
       {"Endiverail-Response-Signature", "s"},
       {"Connection", "close, Endiverail-Response-Signature"}},
      0};
  if (caller_dialect::classify(Head, "id-1", false).Error)
    return;
  response_head Forwarded = caller_dialect::callerHead(Head, false);
  CHECK(findHeader(Forwarded.Headers, "Endiverail-Response-Signature") == "s");
}

#include "connection/response_classification.h"

#include <catch2/catch.hpp>

using namespace endiverail;

TEST_CASE("response heads are classified according to the contract") {
  struct row {
    const char *What;
    int Status;
    std::vector<header_field> Headers;
    bool MayRetry;
    std::optional<error_kind> Error;
    bool ServerFailed;
    bool Leaving;
  };
  const row Rows[]{
      {"plain response", 200, {}, true, {}, false, false},
      {"matching attempt",
       200,
       {{"endiverail-attempt", "a.1"}},
       true,
       {},
       false,
       false},
      {"response to a different attempt",
       200,
       {{"Endiverail-Attempt", "a.2"}},
       true,
       error_kind::ForeignAnswer,
       false,
       false},
      {"response to two attempts",
       200,
       {{"Endiverail-Attempt", "a.1"}, {"Endiverail-Attempt", "a.2"}},
       true,
       error_kind::ForeignAnswer,
       false,
       false},
      {"client error", 404, {}, true, {}, false, false},
      {"server error with retry",
       500,
       {},
       true,
       error_kind::BackendError,
       true,
       false},
      {"server error without retry", 500, {}, false, {}, true, false},
      {"shed",
       503,
       {{"Endiverail-Not-Run", "true"}},
       false,
       error_kind::BackendShed,
       false,
       false},
      {"503 without Endiverail-Not-Run", 503, {}, false, {}, true, false},
      {"Endiverail-Not-Run with a different status",
       500,
       {{"Endiverail-Not-Run", "true"}},
       false,
       {},
       true,
       false},
      {"leaving", 200, {{"Endiverail-Leaving", "true"}}, true, {}, false, true},
  };
  for (const row &Row : Rows) {
    INFO(Row.What);
    backend_response_head Head{Row.Status, Row.Headers, 0};
    response_classification Classification =
        classifyResponse(Head, "a.1", Row.MayRetry);
    CHECK(Classification.Error == Row.Error);
    CHECK(Classification.ServerFailed == Row.ServerFailed);
    CHECK(Classification.Leaving == Row.Leaving);
  }
}

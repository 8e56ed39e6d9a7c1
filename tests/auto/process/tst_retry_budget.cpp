#include "process/retry_budget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace endiverail;

namespace {

/// The operator's limit for the retries of one service in a window.
double bound(const retry_allowance &Allowance, int Requests) {
  return Allowance.ShareOfRequests * Requests + Allowance.Extra;
}

/// Takes all available retries and returns their number.
int spend(retry_budget &Budget, rank Rank) {
  int Taken = 0;
  while (Budget.take(Rank))
    ++Taken;
  return Taken;
}

} // namespace

TEST_CASE("a fleet that uses up its retry budgets stays within the operator's "
          "limit") {
  // All requests fail after a time without failures in which each entry has
  // accumulated the maximum of tokens. Then all hosts lose power, the daemons
  // start with new budgets, and the remaining requests fail as well.
  struct row {
    std::size_t Entries;
    int RequestsOfEntry;
    int Ranks;
    retry_allowance Allowance;
  };
  for (const row &Row :
       {row{16, 50, 2, {0.2, 62}}, row{16, 50, 3, {0.2, 62}},
        row{16, 12, 3, {0.2, 62}}, row{12, 150, 1, {0.2, 62}},
        row{12, 3, 2, {0.2, 62}}, row{27, 300, 3, {0.2, 188}}}) {
    retry_limits Limits = Row.Allowance.limitsFor(Row.Entries);
    std::vector<retry_budget> Entries(Row.Entries, retry_budget(Limits));
    int Retries = 0;
    auto Serve = [&](retry_budget &Entry, int Requests, bool Failing) {
      for (int Request = 0; Request < Requests; ++Request) {
        rank Rank = AllRanks[static_cast<std::size_t>(Request % Row.Ranks)];
        Entry.onRequest(Rank);
        Retries += Failing ? spend(Entry, Rank) : 0;
      }
    };
    for (retry_budget &Entry : Entries) {
      Serve(Entry, 1'000, false);
      Serve(Entry, Row.RequestsOfEntry / 2, true);
      Entry = retry_budget(Limits);
      Serve(Entry, Row.RequestsOfEntry / 2, true);
    }
    int Requests = static_cast<int>(Row.Entries) * Row.RequestsOfEntry;
    CAPTURE(Row.Entries, Row.Ranks, Requests);
    CHECK(Retries <= bound(Row.Allowance, Requests));
    CHECK(Retries > 0);
  }
}

TEST_CASE("new limits apply to accumulated tokens") {
  retry_limits Small;
  Small.InitialTokens = 0.5;
  Small.MaxTokens = 2;
  SECTION("before the first request, the tokens are reset") {
    retry_budget Budget;
    Budget.setLimits(Small);
    CHECK_FALSE(Budget.available(rank::Urgent));
  }
  SECTION("accumulated tokens are reduced to the new maximum") {
    retry_budget Budget({20, 20, 0, 1});
    Budget.onRequest(rank::Urgent);
    Budget.setLimits(Small);
    CHECK(Budget.take(rank::Urgent));
    CHECK(Budget.take(rank::Urgent));
    CHECK_FALSE(Budget.take(rank::Urgent));
  }
  SECTION("setting the same limits again adds no tokens") {
    retry_budget Budget(Small);
    Budget.onRequest(rank::Urgent);
    Budget.setLimits(Small);
    CHECK_FALSE(Budget.available(rank::Urgent));
  }
}

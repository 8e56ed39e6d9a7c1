#include "simulated_room.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr precedence Urgent{rank::Normal, rank::Normal};
constexpr precedence LessUrgent{rank::Normal, rank::Background};

/// Urgent writes that may not run twice, and reads of half their rate, while
/// the servers turn more than half of what arrives away.
room_load turnedAway(bool Trouble) {
  room_load Load;
  Load.ShedShare = Trouble ? 0.55 : 0;
  caller_group Write;
  Write.Rate = Write.TroubleRate = 280;
  caller_group Read = Write;
  Read.Rank = rank::Background;
  Read.Idempotent = true;
  Read.Rate = Read.TroubleRate = 140;
  Load.Groups = {Write, Read};
  return Load;
}

} // namespace

TEST_CASE("the urgent get the retries that the less urgent would take") {
  room_result Result = simulateRoom(turnedAway(true));
  const group_result &Writes = Result.Groups[0];
  const group_result &Reads = Result.Groups[1];
  CAPTURE(Writes.inTime(), Reads.inTime(), Result.Retries);
  // A share of 0.45 is served at once. Of the retries that the requests bring,
  // the writes get all but a quarter of those of the reads.
  CHECK(Writes.inTime() > Reads.inTime() + 0.05);
  CHECK(Reads.inTime() > 0.45);
}

TEST_CASE("retries of all entries stay within the operator's limit") {
  room_load Load = turnedAway(true);
  Load.Trouble = 10s;
  room_result Result = simulated_room(Load).simulate();
  int Requests = Result.Groups[0].Asked + Result.Groups[1].Asked;
  CHECK(Result.Retries > 0);
  CHECK(Result.Retries <=
        Load.Retries.ShareOfRequests * Requests + Load.Retries.Extra);
}

TEST_CASE("a less urgent rank uses what the more urgent one does not need") {
  retry_allotment Retries;
  Retries.setLimits(0, 4);
  for (int Request = 0; Request < 200; ++Request)
    Retries.add(Request % 2 == 0 ? Urgent : LessUrgent, 0.2);
  CHECK(Retries.take({LessUrgent}));
  CHECK(Retries.take({LessUrgent}));
  CHECK(Retries.take({LessUrgent}));
  CHECK_FALSE(Retries.take({LessUrgent}));
  CHECK(Retries.take({Urgent}));
}

TEST_CASE("a less urgent rank keeps its guaranteed part of the retries") {
  retry_allotment Retries;
  Retries.setLimits(0, 4);
  int Taken = 0;
  constexpr int Requests = 1'000;
  constexpr double Amount = 0.2;
  for (int Request = 0; Request < Requests; ++Request) {
    Retries.add(Urgent, Amount);
    Retries.add(LessUrgent, Amount);
    while (Retries.take({Urgent}))
      ;
    Taken += Retries.take({LessUrgent}) ? 1 : 0;
  }
  CHECK(Taken >=
        static_cast<int>(Requests * Amount * retry_allotment::GuaranteedShare) -
            1);
}

TEST_CASE("a retry that would come late is left to one in time") {
  retry_allotment Retries;
  Retries.setLimits(0, 4);
  for (int Request = 0; Request < 7; ++Request)
    Retries.add(Urgent, 0.2);
  CHECK_FALSE(Retries.available({Urgent, false}));
  CHECK(Retries.available({Urgent, true}));
}

#include "failure_check.h"
#include "process/key_hand_over.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

const steady_time Now{1h};
const proxy_incarnation Ended{"g", 1};

proxy_member heir(const std::string &Id) {
  return {Id, "dc", Id + ":1", 5, true};
}

std::vector<remembered_key> keys(std::size_t Count, std::size_t Bytes) {
  std::vector<remembered_key> Keys;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Keys.push_back(
        {"s/" + std::to_string(Index), Ended, {{}, std::string(Bytes, 'x')}});
  return Keys;
}

key_sender started(std::size_t Count, std::size_t Bytes) {
  key_sender Started;
  Started.start(Ended, {{Ended, {}, 1}}, keys(Count, Bytes));
  Started.setHeir(heir("h"));
  return Started;
}

} // namespace

TEST_CASE("any number of keys is handed over in parts") {
  for (std::size_t Count : {0, 1, 5, 40}) {
    INFO(Count);
    key_sender Sender = started(Count, 30'000);
    key_receiver Heir;
    std::optional<key_hand_over> Whole;
    do
      Whole = valueOf(Heir.take(Sender.part(), {"h", 5}, Now));
    while (Sender.onDelivery(key_delivery::Accepted) ==
           key_sender::next_step::SendPart);
    REQUIRE(Whole);
    CHECK(Whole->Keys.size() == Count);
    CHECK(Whole->Rights == std::vector<key_successor>{{Ended, {"h", 5}, 1}});
  }
}

TEST_CASE("invalid parts and parts for another proxy are refused") {
  key_hand_over Valid = started(1, 10).part();
  auto Changed = [&](auto &&Change) {
    key_hand_over Part = Valid;
    Change(Part);
    return Part;
  };
  const key_hand_over Rows[]{
      Changed([](key_hand_over &Part) { Part.Heir.ProxyId = "other"; }),
      Changed([](key_hand_over &Part) { Part.Heir.Incarnation = 4; }),
      Changed([](key_hand_over &Part) { Part.Part = 1; }),
      Changed([](key_hand_over &Part) { Part.Parts = 0; }),
      Changed([](key_hand_over &Part) { Part.Parts = 1'000; }),
  };
  for (const key_hand_over &Row : Rows) {
    key_receiver Heir;
    CHECK(failureOf([&] { return Heir.take(Row, {"h", 5}, Now); }));
  }
}

TEST_CASE("a repeated hand-over is applied once") {
  key_hand_over Part = started(1, 10).part();
  key_receiver Heir;
  CHECK(valueOf(Heir.take(Part, {"h", 5}, Now)));
  CHECK_FALSE(valueOf(Heir.take(Part, {"h", 5}, Now)));
}

TEST_CASE("at most one heir receives all parts when parts are lost") {
  std::mt19937_64 Random(20'261'204);
  auto Pick = [&](std::size_t Count) { return Random() % Count; };
  std::size_t Passed = 0;
  for (int Run = 0; Run < 5'000; ++Run) {
    std::map<std::string, key_receiver> Heirs;
    std::set<std::string> Whole;
    key_sender Sender;
    Sender.start(Ended, {{Ended, {}, 1}}, keys(Pick(4), 150'000));
    auto Step = key_sender::next_step::ChooseHeir;
    while (Step != key_sender::next_step::End) {
      if (Step == key_sender::next_step::ChooseHeir)
        Sender.setHeir(heir("h" + std::to_string(Pick(3))));
      const key_hand_over &Part = Sender.part();
      auto Delivery = static_cast<key_delivery>(Pick(3));
      bool Arrives = Delivery == key_delivery::Accepted ||
                     (Delivery == key_delivery::Unknown && Pick(2) == 0);
      if (Arrives &&
          valueOf(Heirs[Part.Heir.ProxyId].take(Part, Part.Heir, Now)))
        Whole.insert(Part.Heir.ProxyId);
      Step = Sender.onDelivery(Delivery);
    }
    REQUIRE(Whole.size() <= 1);
    Passed += Whole.size();
  }
  CHECK(Passed > 1'000);
}

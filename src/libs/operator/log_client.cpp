#include "operator/log_client.h"

#include "files/log_codec.h"
#include "files/record_codec.h"
#include "http/blocking_client.h"

#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

namespace endiverail {
namespace {

constexpr milliseconds CallTimeout{5'000};
constexpr std::size_t MostTries = 4;

} // namespace

result<log_page> log_client::readPage(std::uint64_t From) {
  BOOST_LEAF_AUTO(Answer,
                  fetch("GET", Server, logReadTarget(From), "", CallTimeout));
  if (Answer.Status != 200)
    return fail(error_kind::StoreUnavailable,
                "the log service answers " + std::to_string(Answer.Status));
  return decodeLogPage(Answer.Body);
}

result<std::vector<log_entry>> log_client::readAll() {
  std::vector<log_entry> All;
  std::uint64_t From = 0;
  while (true) {
    BOOST_LEAF_AUTO(Page, readPage(From));
    for (const std::string &Reason : Page.Skipped)
      spdlog::warn("log: skipped {}", Reason);
    std::ranges::move(Page.Entries, std::back_inserter(All));
    From = Page.Next;
    if (Page.Next >= Page.End)
      return All;
  }
}

result<std::optional<std::uint64_t>> log_client::find(const std::string &Text,
                                                      std::uint64_t From) {
  while (true) {
    BOOST_LEAF_AUTO(Page, readPage(From));
    auto Found = std::ranges::find_if(Page.Entries, [&](const log_entry &E) {
      return encodeRecord(E.Record) == Text;
    });
    if (Found != Page.Entries.end())
      return std::optional(Found->Offset);
    From = Page.Next;
    if (Page.Next >= Page.End)
      return std::optional<std::uint64_t>{};
  }
}

result<std::uint64_t> log_client::append(const log_record &Record) {
  std::string Text = encodeRecord(Record);
  BOOST_LEAF_AUTO(Before, readPage(0));
  for (std::size_t Try = 0; Try < MostTries; ++Try) {
    auto Offset = handleFailure(
        [&]() -> result<std::optional<std::uint64_t>> {
          BOOST_LEAF_AUTO(
              Answer, fetch("POST", Server, AppendTarget, Text, CallTimeout));
          auto Value = nlohmann::json::parse(Answer.Body, nullptr, false);
          if (Answer.Status == 200 && Value.is_object())
            return std::optional(Value.value("offset", std::uint64_t{0}));
          return std::optional<std::uint64_t>{};
        },
        [](const failure &) { return std::optional<std::uint64_t>{}; });
    if (Offset)
      return *Offset;
    // The request may have taken effect all the same.
    BOOST_LEAF_AUTO(Found, find(Text, Before.End));
    if (Found)
      return *Found;
  }
  return fail(error_kind::StoreUnavailable, "the log service takes no record");
}

result<configuration_state>
foldRecords(std::span<const log_entry> Entries,
            std::span<const std::string> CustomerKeys) {
  BOOST_LEAF_AUTO(ConfigurationState,
                  configuration_state::create(CustomerKeys));
  auto Apply = [&](const configuration_record &Record) {
    // Void and forged records change nothing; they are not an error here.
    handleFailure([&] { return ConfigurationState.apply(Record); },
                  [](const failure &) { return false; });
  };
  for (const log_entry &Entry : Entries) {
    if (const auto *Proposal = std::get_if<proposal>(&Entry.Record))
      Apply(*Proposal);
    if (const auto *Rejection = std::get_if<rejection>(&Entry.Record))
      Apply(*Rejection);
    if (const auto *Accepted = std::get_if<acceptance>(&Entry.Record)) {
      acceptance Placed = *Accepted;
      if (!Placed.Refresh)
        Placed.FirstOffset = Entry.Offset;
      Apply(Placed);
    }
  }
  return ConfigurationState;
}

} // namespace endiverail

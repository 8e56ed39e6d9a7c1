#include "files/log_codec.h"

#include "files/checked_json.h"
#include "files/record_codec.h"

namespace endiverail {
namespace {

constexpr std::size_t MostRecordsPerRead = 1'000;
constexpr std::size_t MostReasonBytes = 200;
constexpr number_range AnyCount{0, std::numeric_limits<std::int64_t>::max()};

} // namespace

std::string logReadTarget(std::uint64_t From) {
  return "/log/read?from=" + std::to_string(From) +
         "&max=" + std::to_string(MostRecordsPerRead);
}

result<log_page> decodeLogPage(std::string_view Text) {
  json_mistakes Mistakes;
  nlohmann::json Value = parseJson(Text, Mistakes);
  checked_object Object(Value, "", Mistakes);
  log_page Page;
  Page.First = Object.requiredNumber("first", AnyCount);
  Page.Next = Object.requiredNumber("next", AnyCount);
  Page.End = Object.requiredNumber("end", AnyCount);
  Page.NowMilliseconds =
      static_cast<std::int64_t>(Object.requiredNumber("now_ms", AnyCount));
  Page.RetentionMilliseconds = static_cast<std::int64_t>(
      Object.requiredNumber("retention_ms", AnyCount));
  Object.objects("records", false, [&](checked_object &Entry) {
    std::uint64_t Offset = Entry.requiredNumber("offset", AnyCount);
    auto Time =
        static_cast<std::int64_t>(Entry.requiredNumber("time_ms", AnyCount));
    std::string Data = Entry.optionalText("data", "");
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Record, decodeRecord(Data));
          Page.Entries.push_back({Offset, Time, std::move(Record)});
          return {};
        },
        [&](const failure &Failure) {
          Page.Skipped.push_back("offset " + std::to_string(Offset) + ": " +
                                 Failure.Detail.substr(0, MostReasonBytes));
        });
  });
  if (!Mistakes.empty())
    return fail(error_kind::BadRecord, mistakeLines("log", Mistakes));
  return Page;
}

} // namespace endiverail

#include "load/load_report.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <numeric>

namespace endiverail {
namespace {

constexpr std::array<double, 4> Shares{0.5, 0.9, 0.99, 0.999};

void appendRow(std::string &Text, std::string_view Name, const load_row &Row) {
  fmt::format_to(std::back_inserter(Text),
                 "{:<11}{:>8}{:>8}{:>8}{:>8}{:>7}{:>8}{:>7}", Name, Row.Sent,
                 Row.Done, Row.NotRun, Row.Unknown, Row.Wrong, Row.Doubled,
                 Row.FalseNotRun);
  for (double Share : Shares)
    fmt::format_to(std::back_inserter(Text), "{:>9.2f}",
                   quantileMilliseconds(Row.DoneTimes, Share));
  Text += '\n';
}

nlohmann::json rowJson(const load_row &Row) {
  return {{"sent", Row.Sent},
          {"done", Row.Done},
          {"not_run", Row.NotRun},
          {"unknown", Row.Unknown},
          {"wrong", Row.Wrong},
          {"doubled", Row.Doubled},
          {"false_not_run", Row.FalseNotRun},
          {"p50_ms", quantileMilliseconds(Row.DoneTimes, 0.5)},
          {"p90_ms", quantileMilliseconds(Row.DoneTimes, 0.9)},
          {"p99_ms", quantileMilliseconds(Row.DoneTimes, 0.99)},
          {"p999_ms", quantileMilliseconds(Row.DoneTimes, 0.999)},
          {"errors", Row.Errors}};
}

} // namespace

double quantileMilliseconds(std::vector<microseconds> Times, double Share) {
  if (Times.empty())
    return 0;
  auto Place = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Times.size() - 1)));
  std::ranges::nth_element(Times,
                           Times.begin() + static_cast<std::ptrdiff_t>(Place));
  return static_cast<double>(Times[Place].count()) / 1000;
}

bool load_report::clean() const {
  return std::ranges::all_of(Fleet, [](const load_row &Row) {
    return Row.Wrong == 0 && Row.Doubled == 0 && Row.FalseNotRun == 0;
  });
}

double load_report::addedMilliseconds(double Share) const {
  return quantileMilliseconds(ComparedTimes, Share) -
         quantileMilliseconds(Direct.DoneTimes, Share);
}

std::string load_report::table() const {
  std::string Text =
      "rank           sent    done notrun unknown  wrong doubled "
      " false   p50 ms   p90 ms   p99 ms p99.9 ms\n";
  for (rank Rank : AllRanks)
    appendRow(Text, rankName(Rank), Fleet[rankIndex(Rank)]);
  if (Direct.Sent > 0) {
    appendRow(Text, "direct", Direct);
    fmt::format_to(std::back_inserter(Text),
                   "added by the fleet to the same work: p50 {:.2f} ms, p90 "
                   "{:.2f} ms, p99 {:.2f} ms\n",
                   addedMilliseconds(0.5), addedMilliseconds(0.9),
                   addedMilliseconds(0.99));
  }
  std::map<std::string, std::uint64_t> Errors;
  for (const load_row &Row : Fleet)
    for (const auto &[Name, Count] : Row.Errors)
      Errors[Name] += Count;
  for (const auto &[Name, Count] : Errors)
    fmt::format_to(std::back_inserter(Text), "error {}: {}\n", Name, Count);
  return Text;
}

std::string load_report::json() const {
  nlohmann::json Rows = nlohmann::json::object();
  for (rank Rank : AllRanks)
    Rows[std::string(rankName(Rank))] = rowJson(Fleet[rankIndex(Rank)]);
  return nlohmann::json{{"fleet", Rows},
                        {"direct", rowJson(Direct)},
                        {"added_p50_ms", addedMilliseconds(0.5)},
                        {"added_p90_ms", addedMilliseconds(0.9)},
                        {"added_p99_ms", addedMilliseconds(0.99)},
                        {"seconds", Seconds},
                        {"clean", clean()}}
             .dump(2) +
         "\n";
}

} // namespace endiverail

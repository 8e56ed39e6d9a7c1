#include "standin/log_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>

namespace endiverail {

std::uint64_t log_model::append(std::string Data,
                                std::int64_t NowMilliseconds) {
  Records.push_back({Next, NowMilliseconds, std::move(Data)});
  return Next++;
}

void log_model::dropOld(std::int64_t NowMilliseconds) {
  while (!Records.empty() &&
         Records.front().TimeMilliseconds + RetentionMilliseconds <
             NowMilliseconds)
    Records.pop_front();
}

std::string log_model::read(std::uint64_t From, std::size_t Most,
                            std::int64_t NowMilliseconds) {
  ++Reads;
  dropOld(NowMilliseconds);
  std::uint64_t First = Records.empty() ? Next : Records.front().Offset;
  std::uint64_t Start = std::clamp(From, First, Next);
  nlohmann::json List = nlohmann::json::array();
  auto Wanted =
      Records | std::views::drop(Start - First) | std::views::take(Most);
  for (const kept_record &Record : Wanted)
    List.push_back({{"offset", Record.Offset},
                    {"time_ms", Record.TimeMilliseconds},
                    {"data", Record.Data}});
  return nlohmann::json{{"first", First},
                        {"next", Start + List.size()},
                        {"end", Next},
                        {"now_ms", NowMilliseconds},
                        {"retention_ms", RetentionMilliseconds},
                        {"records", List}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace endiverail

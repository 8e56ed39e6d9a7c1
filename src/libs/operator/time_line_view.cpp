#include "operator/time_line_view.h"

#include "http/blocking_client.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/chrono.h>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>

namespace endiverail {
namespace {

using nlohmann::json;

constexpr milliseconds CallTimeout{3'000};

constexpr int LaneHeight = 34;
constexpr int LabelWidth = 150;
constexpr int LaneWidth = 1000;
constexpr int TopMargin = 10;
constexpr int AxisHeight = 24;
constexpr int AxisTicks = 5;

bool wanted(const gathered_event &Event, const event_filter &Filter) {
  auto Fits = [](std::string_view Wanted, std::string_view Value) {
    return Wanted.empty() || Wanted == Value;
  };
  return Fits(Filter.Service, Event.Service) && Fits(Filter.Kind, Event.Kind) &&
         Fits(Filter.Process, Event.Process) &&
         Event.WallMilliseconds >= Filter.From;
}

result<std::vector<gathered_event>> eventsOf(const endpoint_text &Daemon) {
  BOOST_LEAF_AUTO(
      Answer, fetch("GET", Daemon, "/endiverail/timeline", "", CallTimeout));
  json Value = json::parse(Answer.Body, nullptr, false);
  if (Answer.Status != 200 || !Value.is_object() || !Value.contains("events"))
    return fail(error_kind::BadRecord, Daemon + " tells no time line");
  std::vector<gathered_event> Events;
  for (const json &Entry : Value["events"])
    Events.push_back({Entry.value("wall_ms", std::int64_t{0}),
                      Entry.value("counter", std::uint64_t{0}),
                      Entry.value("process", ""), Entry.value("kind", ""),
                      Entry.value("service", ""), Entry.value("subject", ""),
                      Entry.value("detail", "")});
  return Events;
}

std::string clockText(std::int64_t WallMilliseconds) {
  std::time_t Seconds = WallMilliseconds / 1000;
  return fmt::format("{:%H:%M:%S}.{:03}", fmt::gmtime(Seconds),
                     WallMilliseconds % 1000);
}

std::string escaped(std::string_view Text) {
  std::string Result;
  for (char Letter : Text) {
    if (Letter == '<')
      Result += "&lt;";
    else if (Letter == '>')
      Result += "&gt;";
    else if (Letter == '&')
      Result += "&amp;";
    else if (Letter == '"')
      Result += "&quot;";
    else
      Result += Letter;
  }
  return Result;
}

std::string_view colourOf(std::string_view Kind) {
  static const std::map<std::string_view, std::string_view> Colours{
      {"version-in-force", "#2a6fdb"}, {"member-joined", "#3a9d5d"},
      {"member-suspected", "#d9a21b"}, {"member-lost", "#c0392b"},
      {"server-suspected", "#d9a21b"}, {"server-ejected", "#c0392b"},
      {"server-returned", "#3a9d5d"},  {"request-quarantined", "#8e44ad"},
      {"store-lost", "#c0392b"},       {"store-back", "#3a9d5d"},
      {"self-suspected", "#8e44ad"},   {"server-leaving", "#7f8c8d"},
      {"path-fault", "#d9a21b"},       {"ownership-changed", "#16a2b8"},
      {"flood-started", "#e67e22"},    {"flood-ended", "#3a9d5d"},
      {"keys-inherited", "#16a2b8"}};
  auto Found = Colours.find(Kind);
  return Found == Colours.end() ? "#34495e" : Found->second;
}

std::string eventTitle(const gathered_event &Event) {
  return fmt::format("{} {} {} {} {} {}", clockText(Event.WallMilliseconds),
                     Event.Process, Event.Kind, Event.Service, Event.Subject,
                     Event.Detail);
}

/// Where processes and times lie on the page.
struct lane_plan {
  /// The lane of each process, from above.
  std::map<std::string, int> Lanes;
  std::int64_t First = 0;
  std::int64_t Last = 1;

  double x(std::int64_t WallMilliseconds) const {
    auto Length = static_cast<double>(std::max<std::int64_t>(1, Last - First));
    return LabelWidth +
           static_cast<double>(WallMilliseconds - First) * LaneWidth / Length;
  }
  int y(const std::string &Process) const {
    return TopMargin + Lanes.at(Process) * LaneHeight + LaneHeight / 2;
  }
  int bottom() const {
    return TopMargin + LaneHeight * static_cast<int>(Lanes.size());
  }
};

lane_plan planLanes(std::span<const gathered_event> Events) {
  lane_plan Plan;
  for (const gathered_event &Event : Events)
    Plan.Lanes.emplace(Event.Process, 0);
  int NextLane = 0;
  for (auto &[Process, Lane] : Plan.Lanes)
    Lane = NextLane++;
  if (!Events.empty()) {
    Plan.First = Events.front().WallMilliseconds;
    Plan.Last = Events.back().WallMilliseconds;
  }
  return Plan;
}

/// Names the colours of the kinds that occur.
void addLegend(std::span<const gathered_event> Events, std::string &Html) {
  std::set<std::string_view> Kinds;
  std::ranges::transform(Events, std::inserter(Kinds, Kinds.end()),
                         &gathered_event::Kind);
  Html += "<p>";
  for (std::string_view Kind : Kinds)
    fmt::format_to(std::back_inserter(Html),
                   "<span class=\"kind\"><span style=\"color:{}\">&#9679;"
                   "</span> {}</span>",
                   colourOf(Kind), escaped(std::string(Kind)));
  Html += "</p>";
}

void addAxis(const lane_plan &Plan, std::string &Html) {
  for (int Tick = 0; Tick < AxisTicks; ++Tick) {
    std::int64_t At =
        Plan.First + (Plan.Last - Plan.First) * Tick / (AxisTicks - 1);
    fmt::format_to(std::back_inserter(Html),
                   "<text x=\"{:.1f}\" y=\"{}\" text-anchor=\"middle\" "
                   "fill=\"#777\">{}</text>",
                   Plan.x(At), Plan.bottom() + AxisHeight - 5, clockText(At));
  }
}

/// A line for each process with a mark for each event.
void addLanes(std::span<const gathered_event> Events, const lane_plan &Plan,
              std::string &Html) {
  auto Out = std::back_inserter(Html);
  fmt::format_to(Out, "<svg width=\"{}\" height=\"{}\">",
                 LabelWidth + LaneWidth + LabelWidth / 2,
                 Plan.bottom() + AxisHeight);
  for (const auto &[Process, Lane] : Plan.Lanes) {
    int Middle = Plan.y(Process);
    fmt::format_to(Out,
                   "<text x=\"0\" y=\"{}\">{}</text><line x1=\"{}\" y1=\"{}\" "
                   "x2=\"{}\" y2=\"{}\" stroke=\"#ccc\"/>",
                   Middle + 5, escaped(Process), LabelWidth, Middle,
                   LabelWidth + LaneWidth, Middle);
  }
  for (const gathered_event &Event : Events)
    fmt::format_to(Out,
                   "<circle cx=\"{:.1f}\" cy=\"{}\" r=\"6\" fill=\"{}\" "
                   "fill-opacity=\"0.8\"><title>{}</title></circle>",
                   Plan.x(Event.WallMilliseconds), Plan.y(Event.Process),
                   colourOf(Event.Kind), escaped(eventTitle(Event)));
  addAxis(Plan, Html);
  Html += "</svg>";
}

void addTable(std::span<const gathered_event> Events, std::string &Html) {
  Html += "<table><tr><th>UTC</th><th>process</th><th>event</th>"
          "<th>service</th><th>subject</th><th>detail</th></tr>";
  for (const gathered_event &Event : Events)
    fmt::format_to(std::back_inserter(Html),
                   "<tr><td>{}</td><td>{}</td><td style=\"color:{}\">{}</td>"
                   "<td>{}</td><td>{}</td><td>{}</td></tr>",
                   clockText(Event.WallMilliseconds), escaped(Event.Process),
                   colourOf(Event.Kind), escaped(Event.Kind),
                   escaped(Event.Service), escaped(Event.Subject),
                   escaped(Event.Detail));
  Html += "</table>";
}

} // namespace

std::vector<gathered_event>
gatherTimeLine(std::span<const endpoint_text> Daemons,
               const event_filter &Filter,
               std::vector<endpoint_text> &Unreachable) {
  std::vector<gathered_event> All;
  for (const endpoint_text &Daemon : Daemons)
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Events, eventsOf(Daemon));
          std::ranges::copy_if(
              Events, std::back_inserter(All),
              [&](const gathered_event &E) { return wanted(E, Filter); });
          return {};
        },
        [&](const failure &) { Unreachable.push_back(Daemon); });
  std::ranges::stable_sort(All, {}, [](const gathered_event &Event) {
    return std::tuple(Event.WallMilliseconds, Event.Counter, Event.Process);
  });
  return All;
}

std::string timeLineText(std::span<const gathered_event> Events) {
  std::string Text;
  for (const gathered_event &Event : Events)
    fmt::format_to(std::back_inserter(Text), "{} {:<14} {:<20} {:<14} {} {}\n",
                   clockText(Event.WallMilliseconds), Event.Process, Event.Kind,
                   Event.Service, Event.Subject, Event.Detail);
  return Text;
}

std::string timeLineJson(std::span<const gathered_event> Events) {
  json List = json::array();
  for (const gathered_event &Event : Events)
    List.push_back({{"wall_ms", Event.WallMilliseconds},
                    {"counter", Event.Counter},
                    {"process", Event.Process},
                    {"kind", Event.Kind},
                    {"service", Event.Service},
                    {"subject", Event.Subject},
                    {"detail", Event.Detail}});
  return List.dump(2) + "\n";
}

std::string timeLineHtml(std::span<const gathered_event> Events) {
  std::string Html =
      "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">"
      "<title>endiverail time line</title><style>body{font:14px sans-serif;"
      "margin:1em}table{border-collapse:collapse;margin-top:1em}td,th{padding:"
      "2px 8px;text-align:left;border-bottom:1px solid #ddd}circle:hover{"
      "stroke:#000;stroke-width:2}.kind{margin-right:1em}</style></head><body>"
      "<h1>Time line</h1>";
  lane_plan Plan = planLanes(Events);
  fmt::format_to(std::back_inserter(Html),
                 "<p>{} events, {} processes, {} to {} UTC</p>", Events.size(),
                 Plan.Lanes.size(), clockText(Plan.First),
                 clockText(Plan.Last));
  addLegend(Events, Html);
  addLanes(Events, Plan, Html);
  addTable(Events, Html);
  return Html + "</body></html>\n";
}

} // namespace endiverail

#include "operator/request_story.h"

#include "base/text.h"

#include <algorithm>
#include <map>
#include <utility>

namespace endiverail {
namespace {

using nlohmann::ordered_json;

struct time_span {
  std::string From;
  std::string To;
};

std::string textOf(const ordered_json &Line, std::string_view Name) {
  auto Found = Line.find(std::string(Name));
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

/// A line may stand behind a prefix of whoever collects logs.
ordered_json parseLine(std::string_view Line) {
  std::size_t Brace = Line.find('{');
  if (Brace == std::string_view::npos)
    return {};
  return ordered_json::parse(Line.substr(Brace), nullptr, false);
}

bool isEvent(const ordered_json &Line) {
  return Line.is_object() && !textOf(Line, "event").empty() &&
         !textOf(Line, "time").empty();
}

} // namespace

request_story tellStory(std::string_view RequestId,
                        std::span<const log_text> Logs) {
  request_story Story;
  for (const log_text &Log : Logs) {
    std::vector<story_line> Beliefs;
    time_span Span;
    for (std::string_view Text : split(Log.Text, '\n')) {
      if (trimmed(Text).empty())
        continue;
      ordered_json Line = parseLine(Text);
      if (!isEvent(Line)) {
        ++Story.Skipped;
        continue;
      }
      if (!Line.contains("request")) {
        Beliefs.push_back({Log.Source, std::move(Line)});
        continue;
      }
      if (textOf(Line, "request") != RequestId)
        continue;
      std::string Time = textOf(Line, "time");
      if (Span.From.empty() || Time < Span.From)
        Span.From = Time;
      Span.To = std::max(Span.To, Time);
      Story.Lines.push_back({Log.Source, std::move(Line)});
    }
    if (Span.From.empty())
      continue;
    std::ranges::copy_if(Beliefs, std::back_inserter(Story.Lines),
                         [&](const story_line &Line) {
                           std::string Time = textOf(Line.Fields, "time");
                           return Time >= Span.From && Time <= Span.To;
                         });
  }
  std::ranges::stable_sort(Story.Lines, {}, [](const story_line &Line) {
    return textOf(Line.Fields, "time");
  });
  return Story;
}

std::string storyText(const request_story &Story) {
  std::string Text;
  for (const story_line &Line : Story.Lines) {
    Text += textOf(Line.Fields, "time") + "  " + Line.Source + "  " +
            textOf(Line.Fields, "event");
    for (const auto &[Name, Value] : Line.Fields.items())
      if (Name != "time" && Name != "event" && Name != "request" &&
          Name != "level")
        Text += "  " + Name + "=" +
                (Value.is_string() ? Value.get<std::string>() : Value.dump());
    Text += '\n';
  }
  if (Story.Lines.empty())
    Text += "no line tells of this request: it went well, or did not come "
            "here\n";
  if (Story.Skipped > 0)
    Text += std::to_string(Story.Skipped) + " lines could not be read\n";
  return Text;
}

std::string storyJson(const request_story &Story) {
  ordered_json Lines = ordered_json::array();
  for (const story_line &Line : Story.Lines) {
    ordered_json Entry = Line.Fields;
    Entry["source"] = Line.Source;
    Lines.push_back(std::move(Entry));
  }
  ordered_json Told;
  Told["lines"] = std::move(Lines);
  Told["skipped"] = Story.Skipped;
  return Told.dump(2) + "\n";
}

} // namespace endiverail

#include "experiment/experiment_table.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>

namespace endiverail {
namespace {

constexpr std::size_t CaseWidth = 44;
constexpr std::size_t ValueWidth = 15;
constexpr int BarHeight = 22;
constexpr int BarWidth = 500;
constexpr int LabelWidth = 330;

} // namespace

std::string experiment_table::text() const {
  std::string Text = Title + "\n";
  auto Out = std::back_inserter(Text);
  fmt::format_to(Out, "{:<{}}", "case", CaseWidth);
  for (const std::string &Column : Columns)
    fmt::format_to(Out, "{:>{}}", Column, ValueWidth);
  Text += '\n';
  for (const row &Row : Rows) {
    fmt::format_to(Out, "{:<{}}", Row.Case, CaseWidth);
    for (double Value : Row.Values)
      fmt::format_to(Out, "{:>{}.3f}", Value, ValueWidth);
    Text += '\n';
  }
  return Text;
}

std::string experiment_table::json() const {
  nlohmann::json List = nlohmann::json::array();
  for (const row &Row : Rows) {
    nlohmann::json Entry{{"case", Row.Case}};
    for (std::size_t Index = 0; Index < Columns.size(); ++Index)
      Entry[Columns[Index]] = Row.Values[Index];
    List.push_back(std::move(Entry));
  }
  return nlohmann::json{{"title", Title}, {"rows", List}}.dump(2) + "\n";
}

std::string experiment_table::svg(std::size_t Column) const {
  double Most = 1e-9;
  for (const row &Row : Rows)
    Most = std::max(Most, Row.Values[Column]);
  std::string Svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
      "font-family=\"sans-serif\" font-size=\"12\"><text x=\"4\" "
      "y=\"16\">{}: {}</text>",
      LabelWidth + BarWidth + 90, static_cast<int>(Rows.size() + 2) * BarHeight,
      Title, Columns[Column]);
  int Top = BarHeight;
  for (const row &Row : Rows) {
    double Width = Row.Values[Column] / Most * BarWidth;
    fmt::format_to(std::back_inserter(Svg),
                   "<text x=\"4\" y=\"{}\">{}</text><rect x=\"{}\" y=\"{}\" "
                   "width=\"{:.1f}\" height=\"{}\" fill=\"#2a6fdb\"/><text "
                   "x=\"{:.1f}\" y=\"{}\">{:.2f}</text>",
                   Top + 15, Row.Case, LabelWidth, Top + 3, Width,
                   BarHeight - 6, LabelWidth + Width + 4, Top + 15,
                   Row.Values[Column]);
    Top += BarHeight;
  }
  return Svg + "</svg>\n";
}

} // namespace endiverail

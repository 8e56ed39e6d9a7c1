#pragma once

#include "base/error_kind.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail {

/// One thing that is wrong in a file.
struct json_mistake {
  /// JSON pointer to the value, such as "/kinds/0/rank".
  std::string Place;
  /// What is wrong and what would be right.
  std::string Text;
};

using json_mistakes = std::vector<json_mistake>;

/// A range of whole numbers, both ends included.
struct number_range {
  std::uint64_t Least = 0;
  std::uint64_t Most = std::numeric_limits<std::uint32_t>::max();
};

/// Reads a JSON object field by field and notes each mistake in place of
/// stopping at the first one.
class checked_object {
public:
  checked_object(const nlohmann::json &Value, std::string Place,
                 json_mistakes &Mistakes);

  /// A text that must be there and not be empty.
  std::string requiredText(std::string_view Name);
  std::string optionalText(std::string_view Name, std::string_view Default);
  std::uint64_t requiredNumber(std::string_view Name, number_range Range);
  std::uint64_t optionalNumber(std::string_view Name, std::uint64_t Default,
                               number_range Range);
  /// A number that may have a fraction, between \p Least and \p Most.
  double requiredReal(std::string_view Name, double Least, double Most);
  bool requiredFlag(std::string_view Name);
  bool optionalFlag(std::string_view Name, bool Default);
  /// One of a closed list of words; its index.
  std::size_t requiredWord(std::string_view Name,
                           std::span<const std::string_view> Words);
  std::vector<std::string> texts(std::string_view Name, bool Required);

  /// Calls \p Visit with a checked_object for each element of an array.
  template <typename Visitor>
  void objects(std::string_view Name, bool Required, Visitor &&Visit) {
    const nlohmann::json *Array = array(Name, Required);
    if (!Array)
      return;
    for (std::size_t Index = 0; Index < Array->size(); ++Index) {
      checked_object Element((*Array)[Index],
                             placeOf(Name) + "/" + std::to_string(Index),
                             Mistakes);
      Visit(Element);
      Element.refuseUnknown();
    }
  }

  /// Calls \p Visit with the object of that name, if it is there.
  template <typename Visitor>
  void object(std::string_view Name, Visitor &&Visit) {
    const nlohmann::json *Value = find(Name);
    if (!Value)
      return;
    checked_object Inner(*Value, placeOf(Name), Mistakes);
    Visit(Inner);
    Inner.refuseUnknown();
  }

  bool has(std::string_view Name) const;

  /// Notes a mistake for each field that nothing has asked for.
  void refuseUnknown();

  /// Notes a mistake at a field of this object.
  void mistake(std::string_view Name, std::string Text);

private:
  const nlohmann::json *find(std::string_view Name);
  const nlohmann::json *array(std::string_view Name, bool Required);
  std::string placeOf(std::string_view Name) const;
  std::uint64_t number(std::string_view Name, const nlohmann::json &Value,
                       std::uint64_t Default, number_range Range);

  const nlohmann::json &Value;
  std::string Place;
  json_mistakes &Mistakes;
  std::set<std::string, std::less<>> Asked;
};

/// Parses JSON text; the mistake says where the text stops being JSON.
nlohmann::json parseJson(std::string_view Text, json_mistakes &Mistakes);

/// One line a mistake: "FILE:PLACE: TEXT".
std::string mistakeLines(std::string_view File,
                         std::span<const json_mistake> Mistakes);

/// Reads a whole file by \p ReadFields, which takes a checked_object. Fails
/// with \p Kind; the detail has a line for each mistake, unknown fields among
/// them.
template <typename Reader>
auto readCheckedFile(std::string_view FileName, std::string_view Text,
                     error_kind Kind, Reader &&ReadFields)
    -> result<decltype(ReadFields(std::declval<checked_object &>()))> {
  json_mistakes Mistakes;
  nlohmann::json Value = parseJson(Text, Mistakes);
  if (Mistakes.empty()) {
    checked_object File(Value, "", Mistakes);
    auto Read = ReadFields(File);
    File.refuseUnknown();
    if (Mistakes.empty())
      return Read;
  }
  return fail(Kind, mistakeLines(FileName, Mistakes));
}

} // namespace endiverail

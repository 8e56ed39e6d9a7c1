#include "files/checked_json.h"

#include <algorithm>
#include <numeric>

namespace endiverail {
namespace {

std::string joined(std::span<const std::string_view> Words) {
  std::string Text;
  for (std::string_view Word : Words)
    Text.append(Text.empty() ? "" : ", ").append(Word);
  return Text;
}

} // namespace

checked_object::checked_object(const nlohmann::json &Value, std::string Place,
                               json_mistakes &Mistakes)
    : Value(Value), Place(std::move(Place)), Mistakes(Mistakes) {
  if (!Value.is_object())
    Mistakes.push_back({this->Place, "expected an object in braces"});
}

std::string checked_object::placeOf(std::string_view Name) const {
  return Place + "/" + std::string(Name);
}

void checked_object::mistake(std::string_view Name, std::string Text) {
  Mistakes.push_back({placeOf(Name), std::move(Text)});
}

bool checked_object::has(std::string_view Name) const {
  return Value.is_object() && Value.contains(Name);
}

const nlohmann::json *checked_object::find(std::string_view Name) {
  Asked.emplace(Name);
  return has(Name) ? &Value.at(std::string(Name)) : nullptr;
}

std::string checked_object::requiredText(std::string_view Name) {
  const nlohmann::json *Found = find(Name);
  if (Found && Found->is_string() &&
      !Found->get_ref<const std::string &>().empty())
    return Found->get<std::string>();
  mistake(Name, "expected a text that is not empty");
  return {};
}

std::string checked_object::optionalText(std::string_view Name,
                                         std::string_view Default) {
  const nlohmann::json *Found = find(Name);
  if (!Found)
    return std::string(Default);
  if (Found->is_string())
    return Found->get<std::string>();
  mistake(Name, "expected a text");
  return {};
}

std::uint64_t checked_object::number(std::string_view Name,
                                     const nlohmann::json &Found,
                                     std::uint64_t Default,
                                     number_range Range) {
  if (Found.is_number_unsigned()) {
    auto Number = Found.get<std::uint64_t>();
    if (Number >= Range.Least && Number <= Range.Most)
      return Number;
  }
  mistake(Name, "expected a whole number from " + std::to_string(Range.Least) +
                    " to " + std::to_string(Range.Most));
  return Default;
}

std::uint64_t checked_object::requiredNumber(std::string_view Name,
                                             number_range Range) {
  const nlohmann::json *Found = find(Name);
  static const nlohmann::json Missing;
  return number(Name, Found ? *Found : Missing, Range.Least, Range);
}

std::uint64_t checked_object::optionalNumber(std::string_view Name,
                                             std::uint64_t Default,
                                             number_range Range) {
  const nlohmann::json *Found = find(Name);
  return Found ? number(Name, *Found, Default, Range) : Default;
}

double checked_object::requiredReal(std::string_view Name, double Least,
                                    double Most) {
  const nlohmann::json *Field = find(Name);
  if (Field && Field->is_number()) {
    auto Number = Field->get<double>();
    if (Number >= Least && Number <= Most)
      return Number;
  }
  mistake(Name, "expected a number from " + std::to_string(Least) + " to " +
                    std::to_string(Most));
  return Least;
}

bool checked_object::requiredFlag(std::string_view Name) {
  const nlohmann::json *Found = find(Name);
  if (Found && Found->is_boolean())
    return Found->get<bool>();
  mistake(Name, "expected true or false");
  return false;
}

bool checked_object::optionalFlag(std::string_view Name, bool Default) {
  return find(Name) ? requiredFlag(Name) : Default;
}

std::size_t
checked_object::requiredWord(std::string_view Name,
                             std::span<const std::string_view> Words) {
  const nlohmann::json *Found = find(Name);
  if (Found && Found->is_string()) {
    auto Word = std::ranges::find(Words, Found->get<std::string>());
    if (Word != Words.end())
      return static_cast<std::size_t>(Word - Words.begin());
  }
  mistake(Name, "expected one of: " + joined(Words));
  return 0;
}

const nlohmann::json *checked_object::array(std::string_view Name,
                                            bool Required) {
  const nlohmann::json *Found = find(Name);
  if (!Found && !Required)
    return nullptr;
  if (!Found || !Found->is_array() || (Required && Found->empty())) {
    mistake(Name, Required ? "expected a list with at least one element"
                           : "expected a list in brackets");
    return nullptr;
  }
  return Found;
}

std::vector<std::string> checked_object::texts(std::string_view Name,
                                               bool Required) {
  std::vector<std::string> Texts;
  const nlohmann::json *Array = array(Name, Required);
  if (!Array)
    return Texts;
  for (const nlohmann::json &Element : *Array) {
    if (Element.is_string())
      Texts.push_back(Element.get<std::string>());
    else
      mistake(Name, "expected texts only");
  }
  return Texts;
}

void checked_object::refuseUnknown() {
  if (!Value.is_object())
    return;
  for (const auto &[Name, Ignored] : Value.items())
    if (!Asked.contains(Name)) {
      std::vector<std::string_view> Known(Asked.begin(), Asked.end());
      mistake(Name, "unknown field; known are: " + joined(Known));
    }
}

nlohmann::json parseJson(std::string_view Text, json_mistakes &Mistakes) {
  // The library's own way to learn the place of an error is its exception.
  try {
    return nlohmann::json::parse(Text);
  } catch (const nlohmann::json::parse_error &Error) {
    Mistakes.push_back({"byte " + std::to_string(Error.byte),
                        "the text is not JSON from here on"});
  }
  return nlohmann::json::object();
}

std::string mistakeLines(std::string_view File,
                         std::span<const json_mistake> Mistakes) {
  std::string Lines;
  for (const json_mistake &Mistake : Mistakes) {
    if (!Lines.empty())
      Lines += '\n';
    Lines.append(File)
        .append(":")
        .append(Mistake.Place)
        .append(": ")
        .append(Mistake.Text);
  }
  return Lines;
}

} // namespace endiverail

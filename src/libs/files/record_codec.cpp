#include "files/record_codec.h"

#include "files/checked_json.h"
#include "files/service_file.h"

#include <array>

namespace endiverail {
namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 4> TypeWords{"proposal", "acceptance",
                                                    "rejection", "ejection"};
constexpr std::uint64_t MostVersion = 1'000'000'000'000;
constexpr number_range AnyCount{0, std::numeric_limits<std::int64_t>::max()};

json toJson(const proposal &Record) {
  return {{"type", "proposal"},
          {"parent", Record.Parent},
          {"content", Record.Content},
          {"author", Record.Author}};
}

json toJson(const acceptance &Record) {
  json Value{{"type", "acceptance"},      {"parent", Record.Parent},
             {"content", Record.Content}, {"version", Record.Version},
             {"signer", Record.Signer},   {"signature", Record.Signature}};
  if (Record.Refresh)
    Value["first_offset"] = Record.FirstOffset;
  return Value;
}

json toJson(const rejection &Record) {
  return {{"type", "rejection"},
          {"service", Record.Service},
          {"content_hash", Record.ContentHash},
          {"reason", Record.Reason}};
}

json toJson(const ejection_claim &Claim) {
  return {{"type", "ejection"},         {"service", Claim.Service},
          {"server", Claim.Server},     {"holder", Claim.Holder},
          {"sequence", Claim.Sequence}, {"unavailable", Claim.Unavailable},
          {"held", Claim.Held}};
}

result<log_record> readProposal(checked_object &Object) {
  proposal Record;
  Record.Parent = Object.optionalText("parent", "");
  BOOST_LEAF_AUTO(File,
                  readServiceFile("content", Object.requiredText("content")));
  Record.Definition = std::move(File.Definition);
  Record.Content = std::move(File.Content);
  Record.ContentHash = std::move(File.ContentHash);
  Record.Author = Object.optionalText("author", "");
  return log_record(std::move(Record));
}

result<log_record> readAcceptance(checked_object &Object) {
  acceptance Record;
  Record.Parent = Object.optionalText("parent", "");
  BOOST_LEAF_AUTO(File,
                  readServiceFile("content", Object.requiredText("content")));
  Record.Definition = std::move(File.Definition);
  Record.Content = std::move(File.Content);
  Record.ContentHash = std::move(File.ContentHash);
  Record.Version = Object.requiredNumber("version", {1, MostVersion});
  Record.Signer = Object.requiredText("signer");
  Record.Signature = Object.requiredText("signature");
  Record.Refresh = Object.has("first_offset");
  Record.FirstOffset = Object.optionalNumber("first_offset", 0, AnyCount);
  return log_record(std::move(Record));
}

log_record readRejection(checked_object &Object) {
  return rejection{Object.requiredText("service"),
                   Object.requiredText("content_hash"),
                   Object.optionalText("reason", "")};
}

log_record readClaim(checked_object &Object) {
  ejection_claim Claim;
  Claim.Service = Object.requiredText("service");
  Claim.Server = Object.requiredText("server");
  Claim.Holder = Object.requiredText("holder");
  Claim.Sequence = Object.requiredNumber("sequence", AnyCount);
  Claim.Unavailable = Object.requiredNumber("unavailable", AnyCount);
  Claim.Held = Object.requiredFlag("held");
  return Claim;
}

result<log_record> readAny(checked_object &Object) {
  switch (Object.requiredWord("type", TypeWords)) {
  case 0:
    return readProposal(Object);
  case 1:
    return readAcceptance(Object);
  case 2:
    return readRejection(Object);
  default:
    return readClaim(Object);
  }
}

} // namespace

std::string encodeRecord(const log_record &Record) {
  return std::visit([](const auto &Typed) { return toJson(Typed).dump(); },
                    Record);
}

result<log_record> decodeRecord(std::string_view Text) {
  json_mistakes Mistakes;
  json Value = parseJson(Text, Mistakes);
  checked_object Object(Value, "", Mistakes);
  if (!Mistakes.empty())
    return fail(error_kind::BadRecord, mistakeLines("record", Mistakes));
  BOOST_LEAF_AUTO(Record, readAny(Object));
  if (!Mistakes.empty())
    return fail(error_kind::BadRecord, mistakeLines("record", Mistakes));
  return Record;
}

} // namespace endiverail

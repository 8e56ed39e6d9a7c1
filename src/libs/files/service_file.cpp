#include "files/service_file.h"

#include "base/hash.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <set>

namespace endiverail {
namespace {

constexpr std::array<std::string_view, RankCount> RankWords{"urgent", "normal",
                                                            "background"};
constexpr std::array<std::string_view, 6> MethodWords{"GET", "HEAD",  "POST",
                                                      "PUT", "PATCH", "DELETE"};
constexpr std::size_t MostServersOfAPool = 10'000;
constexpr std::size_t MostOwners = 16;
constexpr std::size_t MostSlots = 1'000;
constexpr std::size_t MostQueued = 100'000;
constexpr std::size_t MostMilliseconds = 600'000;

bool isServiceName(std::string_view Name) {
  constexpr std::size_t Most = 63;
  return Name.size() <= Most && std::ranges::all_of(Name, [](char Letter) {
           return (Letter >= 'a' && Letter <= 'z') ||
                  (Letter >= '0' && Letter <= '9') || Letter == '-';
         });
}

void readPerRank(checked_object &File, std::string_view Name,
                 number_range Range, per_rank<std::size_t> &Values) {
  File.object(Name, [&](checked_object &Object) {
    for (rank Rank : AllRanks)
      Values[rankIndex(Rank)] =
          Object.optionalNumber(rankName(Rank), Values[rankIndex(Rank)], Range);
  });
}

void readPath(checked_object &Kind, const std::string &Service,
              work_kind &Result) {
  std::string Text = Kind.requiredText("path");
  if (Text.empty())
    return;
  if (firstSegment(Text) != Service)
    Kind.mistake("path", "expected a path that starts with \"/" + Service +
                             "/\", the service's name");
  handleFailure(
      [&]() -> result<void> {
        BOOST_LEAF_ASSIGN(Result.Path, path_pattern::create(Text));
        return {};
      },
      [&](const failure &Failure) { Kind.mistake("path", Failure.Detail); });
}

work_kind readKind(checked_object &Object, const std::string &Service) {
  work_kind Kind;
  Kind.Name = Object.requiredText("name");
  Kind.Method = MethodWords[Object.requiredWord("method", MethodWords)];
  readPath(Object, Service, Kind);
  Kind.Rank = AllRanks[Object.requiredWord("rank", RankWords)];
  Kind.Idempotent = Object.requiredFlag("idempotent");
  Kind.LatencyTarget =
      milliseconds(Object.requiredNumber("target_ms", {1, MostMilliseconds}));
  Kind.Timeout = milliseconds(Object.optionalNumber(
      "timeout_ms",
      std::min<std::uint64_t>(10 * Kind.LatencyTarget.count(),
                              MostMilliseconds),
      {1, MostMilliseconds}));
  Kind.Bulk = Object.optionalFlag("bulk", false);
  if (Kind.Timeout < Kind.LatencyTarget)
    Object.mistake("timeout_ms", "expected at least target_ms");
  return Kind;
}

void checkKinds(checked_object &File, std::span<const work_kind> Kinds) {
  std::set<std::string> Names;
  for (const work_kind &Kind : Kinds)
    if (!Names.insert(Kind.Name).second)
      File.mistake("kinds", "two kinds are called \"" + Kind.Name +
                                "\"; names must differ");
}

service_definition readDefinition(checked_object &File) {
  service_definition Service;
  Service.Name = File.requiredText("service");
  if (!isServiceName(Service.Name) || Service.Name == "endiverail")
    File.mistake("service", "expected up to 63 of a-z, 0-9 and '-', and not "
                            "\"endiverail\"");
  Service.Pool = File.optionalText("pool", Service.Name);
  Service.PoolSize = File.requiredNumber("pool_size", {1, MostServersOfAPool});
  Service.MinHealthyServers =
      File.requiredNumber("floor", {0, MostServersOfAPool});
  if (Service.MinHealthyServers > Service.PoolSize)
    File.mistake("floor", "expected at most pool_size");
  Service.Owners =
      File.optionalNumber("owners", Service.Owners, {1, MostOwners});
  Service.SlotsPerServer = File.optionalNumber(
      "slots_per_server", Service.SlotsPerServer, {1, MostSlots});
  readPerRank(File, "share_percent", {1, 100}, Service.SharePercent);
  if (std::accumulate(Service.SharePercent.begin(), Service.SharePercent.end(),
                      std::size_t{0}) > 100)
    File.mistake("share_percent", "expected shares of 100 in all at most");
  readPerRank(File, "queue_limit", {0, MostQueued}, Service.QueueLimit);
  File.objects("kinds", true, [&](checked_object &Object) {
    Service.Kinds.push_back(readKind(Object, Service.Name));
  });
  checkKinds(File, Service.Kinds);
  return Service;
}

} // namespace

result<service_file> readServiceFile(std::string_view FileName,
                                     std::string_view Text) {
  json_mistakes Mistakes;
  nlohmann::json Json = parseJson(Text, Mistakes);
  service_file Read;
  if (Mistakes.empty()) {
    checked_object File(Json, "", Mistakes);
    Read.Definition = readDefinition(File);
    File.refuseUnknown();
  }
  if (!Mistakes.empty())
    return fail(error_kind::BadFile, mistakeLines(FileName, Mistakes));
  // Object fields are sorted by the library, so equal content has equal text.
  Read.Content = Json.dump();
  Read.ContentHash = sha256Hex(Read.Content);
  return Read;
}

} // namespace endiverail

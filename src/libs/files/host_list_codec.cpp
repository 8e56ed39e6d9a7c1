#include "files/host_list_codec.h"

#include "base/text.h"
#include "files/checked_json.h"

#include <algorithm>
#include <array>

namespace endiverail {
namespace {

constexpr std::array<std::string_view, 2> RoleWords{"entry", "backend"};
constexpr std::array<std::string_view, 2> StateWords{"live", "leaving"};
constexpr number_range AnyRevision{1, std::numeric_limits<std::int64_t>::max()};

void readHost(checked_object &Object, json_mistakes &Mistakes,
              host_list &Hosts) {
  std::size_t Before = Mistakes.size();
  bool IsEntry = Object.requiredWord("role", RoleWords) == 0;
  std::string DataCentre = Object.requiredText("data_centre");
  std::string Address = Object.requiredText("address");
  if (!isEndpoint(Address))
    Object.mistake("address", "expected \"a.b.c.d:port\"");
  std::string Name = Object.requiredText(IsEntry ? "id" : "pool");
  bool Leaving = Object.requiredWord("state", StateWords) == 1;
  if (Mistakes.size() != Before)
    return;
  if (!IsEntry)
    Hosts.Servers.push_back(
        {Address, Name, DataCentre,
         Leaving ? server_state::Leaving : server_state::Live});
  else if (!Leaving)
    Hosts.EntryHosts.push_back({Name, DataCentre, Address});
}

} // namespace

result<decoded_host_list> decodeHostList(std::string_view Text) {
  json_mistakes Broken;
  nlohmann::json Value = parseJson(Text, Broken);
  checked_object Object(Value, "", Broken);
  decoded_host_list Decoded;
  Decoded.Hosts.Revision = Object.requiredNumber("revision", AnyRevision);
  if (!Broken.empty())
    return fail(error_kind::BadRecord, mistakeLines("hosts", Broken));

  json_mistakes Nonsense;
  checked_object List(Value, "", Nonsense);
  List.objects("hosts", false, [&](checked_object &Host) {
    readHost(Host, Nonsense, Decoded.Hosts);
  });
  for (const json_mistake &Mistake : Nonsense)
    Decoded.Skipped.push_back(mistakeLines("hosts", {&Mistake, 1}));
  auto Key = [](const backend_server &Server) {
    return std::pair(Server.Pool, Server.Address);
  };
  std::ranges::sort(Decoded.Hosts.Servers, {}, Key);
  auto Doubled = std::ranges::unique(Decoded.Hosts.Servers, {}, Key);
  Decoded.Hosts.Servers.erase(Doubled.begin(), Doubled.end());
  return Decoded;
}

std::string encodeHostList(const host_list &Hosts) {
  nlohmann::json List = nlohmann::json::array();
  for (const entry_host &Host : Hosts.EntryHosts)
    List.push_back({{"role", "entry"},
                    {"id", Host.Id},
                    {"data_centre", Host.DataCentre},
                    {"address", Host.Address},
                    {"state", "live"}});
  for (const backend_server &Server : Hosts.Servers)
    List.push_back(
        {{"role", "backend"},
         {"pool", Server.Pool},
         {"data_centre", Server.DataCentre},
         {"address", Server.Address},
         {"state", StateWords[Server.State == server_state::Leaving ? 1 : 0]}});
  return nlohmann::json{{"revision", Hosts.Revision}, {"hosts", List}}.dump();
}

} // namespace endiverail

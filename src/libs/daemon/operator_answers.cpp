#include "daemon/operator_answers.h"

#include "process/idempotency_key.h"

#include <nlohmann/json.hpp>

#include <ranges>

namespace endiverail {

using nlohmann::json;

std::string addressAnswer(std::string_view Service,
                          std::span<const offered_address> Addresses,
                          milliseconds Lifetime, wall_time Issued,
                          std::string_view Nonce,
                          std::string_view FleetSecret) {
  json List = json::array();
  for (const offered_address &Offered : Addresses)
    List.push_back({{"address", Offered.Address},
                    {"data_centre", Offered.DataCentre},
                    {"servers", Offered.Servers},
                    {"key_prefix", idempotency_key::issuePrefix(
                                       {Offered.ProxyId, Offered.Incarnation},
                                       Issued, Nonce, FleetSecret)}});
  return json{{"service", Service},
              {"addresses", List},
              {"lifetime_ms", Lifetime.count()}}
             .dump() +
         "\n";
}

namespace {

json membersJson(const swim &Members) {
  json List = json::array();
  for (const proxy_member &Proxy : Members.members())
    List.push_back({{"id", Proxy.Id},
                    {"data_centre", Proxy.DataCentre},
                    {"address", Proxy.Address},
                    {"incarnation", Proxy.Incarnation},
                    {"offered", Proxy.Offered}});
  return List;
}

json inForceJson(const configuration_state &Records) {
  json List = json::array();
  for (const auto &[Name, Accepted] : Records.inForce())
    List.push_back({{"service", Name},
                    {"version", Accepted.Record.Version},
                    {"pool_size", Accepted.Record.Definition.PoolSize},
                    {"floor", Accepted.Record.Definition.MinHealthyServers},
                    {"content_hash", Accepted.Record.ContentHash}});
  return List;
}

json pendingJson(const configuration_state &Records) {
  json List = json::array();
  for (const proposal &Proposal : Records.pending())
    List.push_back({{"service", Proposal.Definition.Name},
                    {"parent", Proposal.Parent},
                    {"content_hash", Proposal.ContentHash},
                    {"content", Proposal.Content},
                    {"author", Proposal.Author}});
  return List;
}

json serversJson(const control_state &State) {
  json List = json::array();
  for (const service_status_report &Report : State.reports().all())
    for (const server_status &Server : Report.Servers)
      List.push_back({{"service", Report.Service},
                      {"server", Server.Server},
                      {"standing", standingName(Server.Standing)},
                      {"in_use", Server.InUse},
                      {"limit", Server.Limit},
                      {"suspicion", Server.Suspicion}});
  return List;
}

} // namespace

std::string statusAnswer(const control_state &State) {
  return json{{"id", State.membership().self().Id},
              {"ready", State.ready()},
              {"store_away", State.storeAway()},
              {"log_position", State.logPosition()},
              {"host_list_revision", State.hosts().Revision},
              {"members", membersJson(State.membership())},
              {"in_force", inForceJson(State.records())},
              {"proposed", pendingJson(State.records())},
              {"servers", serversJson(State)}}
             .dump() +
         "\n";
}

std::string timeLineAnswer(std::string_view ProcessId,
                           std::span<const timeline_event> Events) {
  json List = json::array();
  for (const timeline_event &Event : Events)
    List.push_back({{"wall_ms", Event.Time.WallMilliseconds},
                    {"counter", Event.Time.Counter},
                    {"process", ProcessId},
                    {"kind", eventName(Event.Kind)},
                    {"service", Event.Service},
                    {"subject", Event.Subject},
                    {"detail", Event.Detail}});
  return json{{"process", ProcessId}, {"events", List}}.dump() + "\n";
}

} // namespace endiverail

#include "load/deployment.h"

#include "base/hash.h"
#include "base/time.h"
#include "version/rank.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <span>

namespace endiverail {
namespace {

using nlohmann::json;

struct kind_row {
  std::string_view Name;
  std::string_view Method;
  std::string_view Path;
  rank Rank;
  bool Idempotent;
  int TargetMilliseconds;
  bool Bulk;
  int Weight;
  int AnswerBytes;
};

struct service_row {
  std::string_view Name;
  int Servers;
  int Floor;
  int ServiceMilliseconds;
  std::vector<kind_row> Kinds;
};

struct deployment_row {
  std::string_view Name;
  std::vector<std::string_view> DataCentres;
  std::vector<service_row> Services;
};

const std::vector<deployment_row> &deployments() {
  using enum rank;
  static const std::vector<deployment_row> Rows{
      {"zbytky",
       {"brno-a", "brno-b", "olomouc-c"},
       {{"catalogue",
         10,
         7,
         20,
         {{"browse", "GET", "/catalogue/offcuts/*", Normal, true, 300, false,
           60, 2'000}}},
        {"reservations",
         20,
         14,
         25,
         {{"hold", "POST", "/reservations/holds", Urgent, false, 400, false, 20,
           200},
          {"payment", "POST", "/reservations/payments", Urgent, false, 400,
           false, 5, 200},
          {"lookup", "GET", "/reservations/holds/*", Normal, true, 400, false,
           15, 300}}},
        {"photos",
         6,
         4,
         30,
         {{"pack", "GET", "/photos/packs/*", Background, true, 2'000, true, 2,
           400'000}}}}},
      {"vezilica",
       {"zg-a", "zg-b", "os-a", "vz-a"},
       {{"catalogue",
         10,
         7,
         20,
         {{"browse", "GET", "/catalogue/designs/*", Normal, true, 300, false,
           40, 2'000}}},
        {"orders",
         20,
         14,
         25,
         {{"status", "GET", "/orders/status/*", Urgent, true, 300, false, 30,
           300},
          {"submission", "POST", "/orders/batches", Urgent, false, 500, false,
           15, 200},
          {"payment", "POST", "/orders/payments", Urgent, false, 500, false, 5,
           200}}},
        {"stitch-files",
         8,
         6,
         30,
         {{"proof", "GET", "/stitch-files/proofs/*", Normal, true, 500, false,
           10, 20'000},
          {"download", "GET", "/stitch-files/files/*", Background, true, 2'000,
           true, 2, 300'000}}}}}};
  return Rows;
}

constexpr int TimeoutFactor = 5;
constexpr int BulkTimeoutMilliseconds = 30'000;

int timeoutOf(const kind_row &Kind) {
  return Kind.Bulk ? BulkTimeoutMilliseconds
                   : Kind.TargetMilliseconds * TimeoutFactor;
}

std::string endpoint(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Lays out a deployment's addresses: the platform, the daemons, the servers.
class deployment_writer {
public:
  deployment_writer(const deployment_row &Row,
                    const deployment_options &Options, signing_key Customer,
                    std::string Secret)
      : Row(Row), Options(Options), Customer(std::move(Customer)),
        Secret(std::move(Secret)), NextPort(Options.FirstPort) {
    Platform = endpoint(NextPort++);
    for (std::size_t Index = 0; Index < Options.Daemons; ++Index)
      Daemons.push_back(endpoint(NextPort++));
  }

  std::vector<deployment_file> files() {
    add("customer.key", Customer.Private + "\n");
    for (const service_row &Service : Row.Services)
      add("services/" + std::string(Service.Name) + ".service.json",
          serviceFile(Service).dump(2) + "\n");
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      add("daemons/" + daemonId(Index) + ".json",
          daemonSettings(Index).dump(2) + "\n");
    add("scenario.json", scenarioFile().dump(2) + "\n");
    add("fleet.json", fleetFile().dump(2) + "\n");
    add("plan.json", planFile().dump(2) + "\n");
    return std::move(Files);
  }

private:
  void add(std::string Name, std::string Content) {
    Files.push_back({std::move(Name), std::move(Content)});
  }

  std::string_view dataCentre(std::size_t Index) const {
    return Row.DataCentres[Index % Row.DataCentres.size()];
  }

  std::string daemonId(std::size_t Index) const {
    return std::string(dataCentre(Index)) + "-" +
           std::to_string(Index / Row.DataCentres.size() + 1);
  }

  json serviceFile(const service_row &Service) const {
    json Kinds = json::array();
    for (const kind_row &Kind : Service.Kinds)
      Kinds.push_back({{"name", Kind.Name},
                       {"method", Kind.Method},
                       {"path", Kind.Path},
                       {"rank", rankName(Kind.Rank)},
                       {"idempotent", Kind.Idempotent},
                       {"target_ms", Kind.TargetMilliseconds},
                       {"timeout_ms", timeoutOf(Kind)},
                       {"bulk", Kind.Bulk}});
    return {{"service", Service.Name},
            {"pool_size", Service.Servers},
            {"floor", Service.Floor},
            {"kinds", Kinds}};
  }

  json daemonSettings(std::size_t Index) const {
    return {{"id", daemonId(Index)},
            {"data_centre", dataCentre(Index)},
            {"address", Daemons[Index]},
            {"log_service", Platform},
            {"host_list", Platform},
            {"fleet_secret", Secret},
            {"customer_keys", json::array({Customer.Public})},
            {"address_lifetime_ms", 3'000}};
  }

  json scenarioFile() {
    json Hosts = json::array();
    for (std::size_t Index = 0; Index < Daemons.size(); ++Index)
      Hosts.push_back({{"id", daemonId(Index)},
                       {"data_centre", dataCentre(Index)},
                       {"address", Daemons[Index]}});
    json Pools = json::array();
    for (const service_row &Service : Row.Services) {
      json Servers = json::array();
      for (int Index = 0; Index < Service.Servers; ++Index)
        Servers.push_back(
            {{"address", endpoint(NextPort++)},
             {"data_centre", dataCentre(static_cast<std::size_t>(Index))}});
      Pools.push_back({{"pool", Service.Name},
                       {"slots", 6},
                       {"service_ms", Service.ServiceMilliseconds},
                       {"servers", Servers}});
    }
    return {{"platform", Platform}, {"entry_hosts", Hosts}, {"pools", Pools}};
  }

  json fleetFile() const {
    return {{"log_service", Platform},
            {"daemons", Daemons},
            {"customer_keys", json::array({Customer.Public})}};
  }

  json planFile() const {
    json Work = json::array();
    for (const service_row &Service : Row.Services)
      for (const kind_row &Kind : Service.Kinds) {
        std::string Target(Kind.Path);
        if (Target.ends_with('*'))
          Target.replace(Target.size() - 1, 1, "{n}");
        Work.push_back({{"service", Service.Name},
                        {"name", Kind.Name},
                        {"method", Kind.Method},
                        {"target", Target},
                        {"rank", rankName(Kind.Rank)},
                        {"idempotent", Kind.Idempotent},
                        {"weight", Kind.Weight},
                        {"answer_bytes", Kind.AnswerBytes},
                        {"body_bytes", Kind.Idempotent ? 0 : 200},
                        {"timeout_ms", timeoutOf(Kind)}});
      }
    return {{"daemons", Daemons},
            {"platform", Platform},
            {"rate", Options.Rate},
            {"seconds", Options.Seconds},
            {"seed", 1},
            {"direct_percent", 20},
            {"work", Work}};
  }

  const deployment_row &Row;
  const deployment_options &Options;
  signing_key Customer;
  std::string Secret;
  std::uint16_t NextPort;
  std::string Platform;
  std::vector<std::string> Daemons;
  std::vector<deployment_file> Files;
};

} // namespace

std::vector<std::string> deploymentNames() {
  std::vector<std::string> Names;
  std::ranges::transform(
      deployments(), std::back_inserter(Names),
      [](const deployment_row &Row) { return std::string(Row.Name); });
  return Names;
}

result<std::vector<deployment_file>>
makeDeployment(std::string_view Name, const deployment_options &Options) {
  auto Found = std::ranges::find(deployments(), Name, &deployment_row::Name);
  if (Found == deployments().end())
    return fail(error_kind::BadSettings,
                "no deployment is called \"" + std::string(Name) + "\"");
  BOOST_LEAF_AUTO(Customer, signing_key::generate());
  BOOST_LEAF_AUTO(Secret, signing_key::generate());
  return deployment_writer(*Found, Options, std::move(Customer), Secret.Private)
      .files();
}

} // namespace endiverail

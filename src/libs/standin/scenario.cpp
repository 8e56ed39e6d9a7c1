#include "standin/scenario.h"

#include "base/text.h"
#include "files/checked_json.h"
#include "files/host_list_codec.h"

#include <array>

namespace endiverail {
namespace {

constexpr std::array<std::string_view, 4> TargetWords{"log", "server",
                                                      "leaving", "hosts"};
constexpr std::array<std::string_view, 3> LogWords{"none", "down",
                                                   "lost-answers"};
constexpr std::array<std::string_view, 7> BackendWords{
    "none", "hang", "error", "slow", "cut", "foreign", "down"};
constexpr number_range AnyTime{0, 86'400'000};

std::string readAddress(checked_object &Object) {
  std::string Address = Object.requiredText("address");
  if (!isEndpoint(Address))
    Object.mistake("address", "expected \"a.b.c.d:port\"");
  return Address;
}

standin_order readOrderFields(checked_object &Object) {
  switch (Object.requiredWord("target", TargetWords)) {
  case 0:
    return log_order{
        static_cast<log_fault>(Object.requiredWord("fault", LogWords))};
  case 1: {
    server_order Order;
    Order.Address = Object.optionalText("address", "");
    Order.Pool = Object.optionalText("pool", "");
    if (Order.Address.empty() == Order.Pool.empty())
      Object.mistake("address", "expected either an address or a pool");
    Order.Fault.Fault =
        static_cast<backend_fault>(Object.requiredWord("fault", BackendWords));
    Order.Fault.Proxy = Object.optionalText("proxy", "");
    Order.Fault.Share = static_cast<double>(Object.optionalNumber(
                            "share_percent", 100, {0, 100})) /
                        100;
    return Order;
  }
  case 2:
    return leaving_order{readAddress(Object),
                         Object.optionalFlag("leaving", true)};
  default:
    return hosts_order{Object.requiredFlag("frozen")};
  }
}

void readPool(checked_object &Object, scenario &Scenario) {
  backend_settings Common;
  Common.Pool = Object.requiredText("pool");
  Common.Slots = Object.optionalNumber("slots", 6, {1, 10'000});
  Common.ServiceTime =
      milliseconds(Object.optionalNumber("service_ms", 25, AnyTime));
  Common.RestartTime =
      milliseconds(Object.optionalNumber("restart_ms", 2'000, AnyTime));
  Common.ColdTime = milliseconds(Object.optionalNumber("cold_ms", 0, AnyTime));
  Object.objects("servers", true, [&](checked_object &Server) {
    backend_settings Settings = Common;
    Settings.Address = readAddress(Server);
    Settings.DataCentre = Server.requiredText("data_centre");
    Scenario.Servers.push_back(std::move(Settings));
  });
}

scenario readFields(checked_object &File) {
  scenario Scenario;
  Scenario.Platform = File.requiredText("platform");
  if (!isEndpoint(Scenario.Platform))
    File.mistake("platform", "expected \"a.b.c.d:port\"");
  Scenario.RetentionMilliseconds = static_cast<std::int64_t>(
      File.optionalNumber("retention_ms", 3'600'000, {100, 86'400'000}));
  Scenario.Seed = File.optionalNumber("seed", 1, {});
  File.objects("entry_hosts", false, [&](checked_object &Host) {
    std::string Id = Host.requiredText("id");
    std::string DataCentre = Host.requiredText("data_centre");
    Scenario.EntryHosts.push_back({Id, DataCentre, readAddress(Host)});
  });
  File.objects("pools", true,
               [&](checked_object &Pool) { readPool(Pool, Scenario); });
  File.objects("orders", false, [&](checked_object &Object) {
    milliseconds At(Object.requiredNumber("at_ms", AnyTime));
    Scenario.Orders.push_back({At, readOrderFields(Object)});
  });
  return Scenario;
}

} // namespace

result<scenario> readScenario(std::string_view FileName,
                              std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

result<standin_order> readOrder(std::string_view Text) {
  return readCheckedFile("order", Text, error_kind::BadSettings,
                         readOrderFields);
}

} // namespace endiverail

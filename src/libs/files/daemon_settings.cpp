#include "files/daemon_settings.h"

#include "base/hash.h"
#include "base/text.h"
#include "files/settings_fields.h"

namespace endiverail {
namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;
constexpr std::size_t MostThreads = 64;
constexpr std::size_t LeastSecretBytes = 16;
constexpr std::size_t PublicKeyBytes = 32;

daemon_settings readFields(checked_object &File) {
  daemon_settings Settings;
  Settings.Id = File.requiredText("id");
  if (Settings.Id.find_first_of("~ \t\r\n") != std::string::npos)
    File.mistake("id", "expected a name without blanks and '~'");
  Settings.DataCentre = File.requiredText("data_centre");
  Settings.Address = readEndpoint(File, "address");
  Settings.LogService = readEndpoint(File, "log_service");
  Settings.HostList = readEndpoint(File, "host_list");
  Settings.Seeds = File.texts("seeds", false);
  for (const endpoint_text &Seed : Settings.Seeds)
    if (!isEndpoint(Seed))
      File.mistake("seeds", "expected \"a.b.c.d:port\", not \"" + Seed + "\"");
  Settings.FleetSecret = File.requiredText("fleet_secret");
  if (Settings.FleetSecret.size() < LeastSecretBytes)
    File.mistake("fleet_secret", "expected at least 16 characters");
  Settings.CustomerKeys = File.texts("customer_keys", true);
  for (const std::string &Key : Settings.CustomerKeys)
    if (fromHex(Key).size() != PublicKeyBytes)
      File.mistake("customer_keys",
                   "expected public keys of 64 hexadecimal digits");
  Settings.ConnectionThreads =
      File.optionalNumber("connection_threads", 1, {1, MostThreads});
  Settings.TrafficThreads =
      File.optionalNumber("traffic_threads", 2, {1, MostThreads});
  Settings.MostBodyBytes =
      File.optionalNumber("max_body_bytes", MiB, {0, 64 * MiB});
  Settings.BodyMemoryBytes = File.optionalNumber("body_memory_bytes", 16 * MiB,
                                                 {64 * KiB, 1024 * MiB});
  Settings.KeyMemoryBytes =
      File.optionalNumber("key_memory_bytes", 4 * MiB, {64 * KiB, 1024 * MiB});
  Settings.KeyLife =
      readTime(File, "key_life_ms", 600'000, {1'000, 86'400'000});
  Settings.ReceiveTimeout =
      readTime(File, "receive_timeout_ms", 10'000, {100, 600'000});
  Settings.AddressLifetime =
      readTime(File, "address_lifetime_ms", 10'000, {500, 600'000});
  // A caller may first use a key during half of its life.
  if (Settings.KeyLife < 4 * Settings.AddressLifetime)
    File.mistake("key_life_ms",
                 "expected at least 4 times address_lifetime_ms");
  Settings.DrainTimeout =
      readTime(File, "drain_timeout_ms", 30'000, {0, 600'000});
  Settings.TimeLineEvents =
      File.optionalNumber("time_line_events", 2'000, {100, 100'000});
  return Settings;
}

} // namespace

result<daemon_settings> readDaemonSettings(std::string_view FileName,
                                           std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

} // namespace endiverail

#include "files/store_daemon_settings.h"

#include "files/settings_fields.h"

namespace endiverail {
namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

store_daemon_settings readFields(checked_object &File) {
  store_daemon_settings Settings;
  Settings.Id = File.requiredText("id");
  Settings.DataCentre = File.requiredText("data_centre");
  Settings.Region = File.optionalText("region", "");
  Settings.CallerAddress = readEndpoint(File, "caller_address");
  Settings.ReadyAddress = readEndpoint(File, "ready_address");
  Settings.DirectoryAddress = readEndpoint(File, "directory_address");
  Settings.PeerAddress = readEndpoint(File, "peer_address");
  Settings.Store = readEndpoint(File, "store");
  auto PeerPort = std::to_string(splitEndpoint(Settings.PeerAddress).second);
  for (const endpoint_text &Seed : File.texts("seeds", false)) {
    if (!isEndpoint(Seed))
      File.mistake("seeds", "expected \"a.b.c.d:port\", not \"" + Seed + "\"");
    Settings.Seeds.push_back(splitEndpoint(Seed).first + ":" + PeerPort);
  }
  Settings.FleetSecret = File.requiredText("fleet_secret");
  Settings.MostBodyBytes =
      File.optionalNumber("max_body_bytes", 16 * MiB, {0, 64 * MiB});
  Settings.BodyMemoryBytes = File.optionalNumber("body_memory_bytes", 64 * MiB,
                                                 {64 * KiB, 1024 * MiB});
  Settings.MostBufferedBytes = File.optionalNumber(
      "max_buffered_bytes", 1 * MiB, {4 * KiB, 16 * MiB});
  Settings.AddressLifetime =
      readTime(File, "address_lifetime_ms", 1'000, {100, 600'000});
  Settings.DrainTime = readTime(File, "drain_time_ms", 5'300, {0, 600'000});
  return Settings;
}

} // namespace

result<store_daemon_settings> readStoreDaemonSettings(std::string_view FileName,
                                                      std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

} // namespace endiverail

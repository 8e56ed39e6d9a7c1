#include "files/store_daemon_settings.h"

#include "files/settings_fields.h"

#include <algorithm>

namespace endiverail {
namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = 1024 * KiB;

retry_allowance readRetries(checked_object &Budget) {
  return {Budget.requiredReal("share_of_requests", 0, 10),
          Budget.requiredReal("extra", 0, 1e6)};
}

quota_settings readQuotas(checked_object &Quotas) {
  std::chrono::duration<double> Window(Quotas.requiredReal("window_s", 1, 600));
  return {std::chrono::duration_cast<milliseconds>(Window),
          Quotas.requiredReal("overage", 0, 10),
          Quotas.requiredReal("slack", 0, 1e6)};
}

placement_measure readPlacement(checked_object &File) {
  std::string Name = File.optionalText("placement", "slots_in_use");
  if (Name == "remaining_work")
    return placement_measure::RemainingWork;
  if (Name != "slots_in_use")
    File.mistake("placement",
                 "expected \"slots_in_use\" or \"remaining_work\", not \"" +
                     Name + "\"");
  return placement_measure::SlotsInUse;
}

/// Requests a second that a host carries with that share of a processor core
/// and that link. What a request takes is measured on the users' calm days.
std::uint32_t readCapacity(checked_object &Host) {
  constexpr double ProcessorSecondsPerRequest = 0.002;
  /// Both ways, with the headers.
  constexpr double BytesPerRequest = 20e3;
  constexpr double BytesPerMegabit = 1e6 / 8;
  double ProcessorShare = Host.requiredReal("processor_share", 0, 1e3);
  double LinkMegabits = Host.requiredReal("link_mbps", 0, 1e6);
  return static_cast<std::uint32_t>(
      std::min(ProcessorShare / ProcessorSecondsPerRequest,
               LinkMegabits * BytesPerMegabit / BytesPerRequest));
}

/// The memory for callers: a quarter of the host's, as long as that is not more
/// than most daemons need. The rest is for answers that are held back, the
/// fleet's state and what the allocator keeps.
std::size_t readCallerMemory(checked_object &File, std::size_t HostBytes) {
  constexpr std::size_t UsualBytes = 64 * MiB;
  std::size_t Default =
      HostBytes == 0 ? UsualBytes : std::min(UsualBytes, HostBytes / 4);
  std::size_t Bytes =
      File.optionalNumber("body_memory_bytes", Default, {64 * KiB, 1024 * MiB});
  if (HostBytes != 0 && Bytes > HostBytes / 2)
    File.mistake("body_memory_bytes", "more than half of host.memory_mb");
  return Bytes;
}

store_daemon_settings readFields(checked_object &File) {
  store_daemon_settings Settings;
  Settings.Id = File.requiredText("id");
  Settings.DataCentre = File.requiredText("data_centre");
  Settings.Region = File.optionalText("region", "");
  Settings.CallerAddress = readEndpoint(File, "caller_address");
  Settings.ReadyAddress = readEndpoint(File, "ready_address");
  Settings.DirectoryAddress = readEndpoint(File, "directory_address");
  if (File.has("metrics_address"))
    Settings.MetricsAddress = readEndpoint(File, "metrics_address");
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
  Settings.MostBufferedBytes =
      File.optionalNumber("max_buffered_bytes", 1 * MiB, {4 * KiB, 16 * MiB});
  File.object("retries", [&](checked_object &Budget) {
    Settings.Retries = readRetries(Budget);
  });
  if (File.has("quotas"))
    File.object("quotas", [&](checked_object &Quotas) {
      Settings.Quotas = readQuotas(Quotas);
    });
  std::size_t HostBytes = 0;
  Settings.Placement = readPlacement(File);
  Settings.SamplesServers = File.optionalFlag("samples_servers", false);
  File.object("host", [&](checked_object &Host) {
    Settings.Capacity = readCapacity(Host);
    if (Host.has("memory_mb"))
      HostBytes =
          static_cast<std::size_t>(Host.requiredReal("memory_mb", 32, 1e6)) *
          MiB;
  });
  Settings.BodyMemoryBytes = readCallerMemory(File, HostBytes);
  Settings.AddressLifetime =
      readTime(File, "address_lifetime_ms", 1'000, {100, 600'000});
  constexpr double UsualRegistrationSeconds = 1.5;
  Settings.RegistrationInterval =
      std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
          File.has("registration_interval_s")
              ? File.requiredReal("registration_interval_s", 0.05, 600)
              : UsualRegistrationSeconds));
  // The end itself takes a while on a small host.
  constexpr double EndSeconds = 0.8;
  double Grace = File.requiredReal("grace_s", EndSeconds, 600);
  Settings.DrainTime = std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double>(Grace - EndSeconds));
  return Settings;
}

} // namespace

result<store_daemon_settings> readStoreDaemonSettings(std::string_view FileName,
                                                      std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

} // namespace endiverail

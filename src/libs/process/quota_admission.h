#pragma once

#include "process/active_request.h"
#include "process/metrics.h"
#include "quota/quota_meter.h"
#include "version/fleet_version.h"

#include <spdlog/fmt/fmt.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace endiverail {

/// Applies the quotas of organisations to the requests of a traffic thread.
class quota_admission {
public:
  quota_admission(quota_settings Settings, std::uint64_t Seed,
                  process_metrics &Metrics, steady_time Started)
      : Meter(Settings, Seed), Metrics(Metrics), Started(Started) {}

  /// Counts a request. Fails with QuotaExceeded if its organisation has used
  /// its quota up; the request then has the time after which it may come back.
  result<void> admit(active_request &Active, const fleet_version &Version,
                     steady_time Now) {
    const std::string &Name = Active.Request.Organisation;
    const organisation *Organisation =
        Version.Organisations ? Version.Organisations->find(Name) : nullptr;
    if (!Organisation)
      return {};
    quota_decision Decision = Meter.admit(Name, Organisation->Quota, Now);
    Active.CountsForQuota = Decision.Admitted;
    if (Decision.Admitted)
      return {};
    std::string_view Basis = quotaBasisName(Decision.Basis);
    Metrics.onQuotaRefusal(Basis);
    Active.RetryAfter = Decision.RetryAfter;
    return fail(error_kind::QuotaExceeded,
                fmt::format("the organisation's quota is used up ({} {:.3f})",
                            Basis, Decision.Value));
  }

  /// Takes a request back that ends without having run.
  void takeBack(active_request &Active, steady_time Now) {
    if (std::exchange(Active.CountsForQuota, false) && !Active.MayHaveRun)
      Meter.takeBack(Active.Request.Organisation, Now);
  }

  void onVersion(const fleet_version &Version) {
    Meter.setMemberCount(Version.View.Proxies.size());
    Incarnation = Version.SelfIncarnation;
  }
  void onShares(std::span<const quota_share> Shares, steady_time Now) {
    Meter.onShares(Shares, Now);
  }
  void expire(steady_time Now) { Meter.expire(Now); }

  std::optional<steady_time> nextReport() const { return Meter.nextReport(); }

  /// The report to the coordinators, if one is due.
  std::optional<quota_report> takeReport(steady_time Now) {
    if (auto Due = Meter.nextReport(); !Due || Now < *Due)
      return std::nullopt;
    quota_report Report{Incarnation,
                        std::chrono::duration_cast<milliseconds>(Now - Started),
                        Meter.takeReport(Now)};
    return Report.Uses.empty() ? std::nullopt
                               : std::optional(std::move(Report));
  }

private:
  quota_meter Meter;
  process_metrics &Metrics;
  steady_time Started;
  std::uint64_t Incarnation = 0;
};

} // namespace endiverail

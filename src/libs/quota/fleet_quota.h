#pragma once

#include "quota/quota_ledger.h"
#include "quota/quota_messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// The member that counts an organisation's requests for the fleet: rendezvous
/// hashing, so that a change of members moves only the organisations of the
/// members that come or go. \p Members must not be empty.
std::string_view quotaCoordinator(std::string_view Organisation,
                                  std::span<const std::string> Members);

/// A part of a report, for the coordinator of its organisations.
struct addressed_report {
  std::string Coordinator;
  quota_report Report;
};

/// The quotas as the control thread sees them: who coordinates which
/// organisation, and those that this process coordinates itself.
class fleet_quota {
public:
  fleet_quota(quota_settings Settings, std::string SelfId)
      : Ledger(Settings), SelfId(std::move(SelfId)), Present{this->SelfId} {}

  /// Sets the members, and those that have been lost without leaving.
  void setMembers(std::vector<std::string> PresentMembers,
                  std::span<const std::string> LostMembers, steady_time Now);

  /// Splits a report of this process by coordinator.
  std::vector<addressed_report> route(const quota_report &Report) const;

  /// Counts a report from \p Process and returns the answer.
  std::vector<quota_share> count(std::string_view Process,
                                 const quota_report &Report,
                                 const organisation_table &Organisations,
                                 steady_time Now) {
    return Ledger.onReport(Process, Report, Organisations, fleet(Now), Now);
  }

  /// What has to be announced to all members now.
  std::vector<quota_share>
  takeAnnouncements(const organisation_table &Organisations, steady_time Now) {
    return Ledger.takeAnnouncements(Organisations, fleet(Now), Now);
  }

  std::optional<steady_time> nextWake() const { return Ledger.nextWake(); }

  const quota_ledger &ledger() const { return Ledger; }

private:
  /// A lost member may still serve callers for this long.
  static constexpr milliseconds LostLifetime{10'000};

  quota_fleet fleet(steady_time Now) const;

  quota_ledger Ledger;
  std::string SelfId;
  std::vector<std::string> Present;
  /// Since when members are lost.
  std::map<std::string, steady_time, std::less<>> Lost;
};

} // namespace endiverail

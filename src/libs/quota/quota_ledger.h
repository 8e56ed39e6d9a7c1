#pragma once

#include "quota/quota_messages.h"
#include "version/organisation_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// The fleet as a coordinator sees it.
struct quota_fleet {
  std::size_t Members = 1;
  /// Part of the members of the last seconds that this process still hears. The
  /// others may serve callers as well, with a coordinator of their own.
  double Heard = 1;
};

/// The organisations that this process counts on behalf of the fleet. For each
/// it keeps a token bucket of the whole fleet's requests, which may run into
/// debt, and sets the share of the requests that processes let pass so that the
/// bucket stays level. No clock, no transport.
class quota_ledger {
public:
  explicit quota_ledger(quota_settings Settings) : Settings(Settings) {}

  /// Counts what a process reports, and returns the answer to it. Organisations
  /// that are unknown or have no quota get a share of 1.
  std::vector<quota_share> onReport(std::string_view Process,
                                    const quota_report &Report,
                                    const organisation_table &Organisations,
                                    const quota_fleet &Fleet, steady_time Now);

  /// The organisations whose requests are restricted and due to be announced to
  /// all processes: few of them may hear of it by an answer in time if each
  /// sees only now and then a request of the organisation.
  std::vector<quota_share>
  takeAnnouncements(const organisation_table &Organisations,
                    const quota_fleet &Fleet, steady_time Now);

  /// When announcements may be due.
  std::optional<steady_time> nextWake() const;

  /// Number of organisations that are counted, and of those restricted.
  std::size_t size() const { return Accounts.size(); }
  std::size_t restricted() const;

  /// How often a restriction is announced.
  static constexpr milliseconds AnnouncementInterval{500};

private:
  /// A debt or a surplus is worked off in this time.
  static constexpr milliseconds BalanceTime{1'000};
  /// Nothing is restricted while the surplus lasts for longer than the
  /// processes take to learn of a restriction.
  static constexpr milliseconds ReactionTime{250};
  /// A coordinator that takes an organisation over learns from the reports of
  /// this time what has been used before.
  static constexpr milliseconds TakeOverTime{1'000};
  /// A process that another member has answered for this long after its last
  /// report here has been counted there.
  static constexpr milliseconds AbsenceTime{1'000};
  /// While an organisation is restricted, its processes report often. One that
  /// has not for SilenceTime counts as one that uses its part of the quota on
  /// its own until SilenceLifetime.
  static constexpr milliseconds SilenceTime{700};
  static constexpr milliseconds SilenceLifetime{10'000};
  /// Processes go on reporting for this long after an announcement.
  static constexpr milliseconds AnnouncementEffect{1'900};
  /// Time constant of the rate of a process's requests.
  static constexpr milliseconds RateTime{5'000};
  /// Processes and organisations without a report for this long are forgotten.
  static constexpr milliseconds IdleLifetime{30'000};
  /// Minimum time between two lines on the same organisation.
  static constexpr milliseconds LogInterval{1'000};
  static constexpr milliseconds RatePart{100};
  static constexpr std::size_t RateParts = 10;
  /// The rate of the last parts counts if it is higher and rests on at least
  /// that many requests.
  static constexpr std::size_t RecentRateParts = 3;
  static constexpr std::int64_t MinRecentRequests = 5;

  struct process_count {
    std::uint64_t Incarnation = 0;
    std::int64_t Requested = 0;
    std::int64_t Admitted = 0;
    steady_time ReportedAt;
    /// Requests a second, as of ReportedAt.
    double Rate = 0;
    bool KeepsReporting = false;

    double rateAt(steady_time Now) const;
  };

  struct account {
    double Tokens = 0;
    steady_time TokensAt;
    /// When the first request was reported, or the first since another member
    /// has coordinated the organisation, and whether others have counted it
    /// before.
    steady_time OpenedAt;
    bool TakenOver = false;
    /// Requests of the window that processes may still be assumed to have
    /// admitted before they started.
    double UnknownLeft = 0;
    /// What is left of the window's requests at the end of a takeover for
    /// processes that report for the first time later.
    double Unreported = 0;
    steady_time ReportedAt;
    /// Request rate that an earlier coordinator has told.
    double InheritedRate = 0;
    std::map<std::string, process_count, std::less<>> Processes;
    /// Requests by RatePart, the newest first, and the number of the newest.
    std::array<std::int64_t, RateParts> Requests{};
    std::int64_t NewestPart = 0;
    bool Restricted = false;
    /// Beginning and latest moment of the restriction.
    steady_time RestrictedSince;
    steady_time RestrictedAt;
    steady_time AnnouncedAt;
    steady_time LoggedAt;
  };

  account &accountOf(const std::string &Organisation,
                     const request_quota &Quota, steady_time Now);
  void refill(account &Account, const request_quota &Quota,
              const quota_fleet &Fleet, steady_time Now) const;
  /// Whether another member has coordinated the organisation since the last
  /// report of a process.
  static bool wasCountedElsewhere(const account &Account,
                                  const process_count &Before,
                                  const quota_use &Use, steady_time Now);
  /// Returns the process's part of the organisation's requests before those
  /// that it reports now.
  double count(account &Account, std::string_view Process,
               const quota_report &Report, const quota_use &Use,
               const request_quota &Quota, const quota_fleet &Fleet,
               steady_time Now) const;
  static bool isOpening(const account &Account, steady_time Now) {
    return Now < Account.OpenedAt + TakeOverTime;
  }
  static bool isTakingOver(const account &Account, steady_time Now) {
    return Account.TakenOver && isOpening(Account, Now);
  }
  /// Part of the requests that came through processes which report no longer.
  /// They may serve callers and use their own part of the quota.
  double silentPart(const account &Account, steady_time Now) const;
  /// Part of the quota that the processes heard may use.
  double heardPart(const account &Account, const quota_fleet &Fleet,
                   steady_time Now) const;
  double requestRate(const account &Account, steady_time Now) const;
  quota_share shareOf(const std::string &Organisation, account &Account,
                      const request_quota &Quota, const quota_fleet &Fleet,
                      steady_time Now) const;
  double burstOf(const request_quota &Quota) const;
  double windowOf(const request_quota &Quota) const;
  void forgetIdle(steady_time Now);

  quota_settings Settings;
  std::map<std::string, account, std::less<>> Accounts;
  steady_time NextCleanup;
};

} // namespace endiverail

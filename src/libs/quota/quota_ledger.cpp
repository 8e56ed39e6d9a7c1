#include "quota/quota_ledger.h"

#include "log/event_line.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <ranges>
#include <utility>

namespace endiverail {
namespace {

/// Part of the tolerated requests that an organisation may use in a burst. The
/// rest is for what passes before a restriction is known everywhere.
constexpr double ToleranceForBursts = 0.5;
/// A share at which no process rejects anything.
constexpr double UnrestrictedShare = 10;

double inSeconds(steady_time::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double quota_ledger::burstOf(const request_quota &Quota) const {
  return Quota.Burst + ToleranceForBursts * Settings.Slack;
}

double quota_ledger::windowOf(const request_quota &Quota) const {
  return Quota.RatePerSecond * inSeconds(Settings.Window);
}

quota_ledger::account &quota_ledger::accountOf(const std::string &Organisation,
                                               const request_quota &Quota,
                                               steady_time Now) {
  auto [Found, Added] = Accounts.try_emplace(Organisation);
  account &Account = Found->second;
  if (Added) {
    Account.TokensAt = Account.OpenedAt = Now;
    Account.Tokens = burstOf(Quota);
  }
  Account.ReportedAt = Now;
  return Account;
}

void quota_ledger::refill(account &Account, const request_quota &Quota,
                          const quota_fleet &Fleet, steady_time Now) const {
  double Heard = heardPart(Account, Fleet, Now);
  double Most = burstOf(Quota) * Heard;
  if (isTakingOver(Account, Now))
    Most += windowOf(Quota);
  else if (std::exchange(Account.TakenOver, false)) {
    // How the requests lie in the window is not known, so that a surplus might
    // be a burst that has passed already, or what has not been reported yet.
    Account.Unreported = std::max(Account.Tokens, 0.0);
    Account.Tokens = std::min(Account.Tokens, 0.0);
  }
  double Refilled =
      Quota.RatePerSecond * Heard * inSeconds(Now - Account.TokensAt);
  // A debt from before the quota was lowered is forgiven but for one window.
  Account.Tokens =
      std::clamp(Account.Tokens + Refilled, -windowOf(Quota), Most);
  Account.TokensAt = Now;
}

double quota_ledger::process_count::rateAt(steady_time Now) const {
  return Rate * std::exp(-inSeconds(Now - ReportedAt) / inSeconds(RateTime));
}

bool quota_ledger::wasCountedElsewhere(const account &Account,
                                       const process_count &Before,
                                       const quota_use &Use, steady_time Now) {
  steady_time AnsweredAt = Now - Use.KnownRequestRateAge;
  return Use.KnownRequestRate > 0 &&
         AnsweredAt > std::max({Before.ReportedAt, Account.AnnouncedAt,
                                Account.OpenedAt}) +
                          AbsenceTime;
}

double quota_ledger::count(account &Account, std::string_view Process,
                           const quota_report &Report, const quota_use &Use,
                           const request_quota &Quota, const quota_fleet &Fleet,
                           steady_time Now) const {
  auto [Found, Added] = Account.Processes.try_emplace(std::string(Process));
  process_count &Before = Found->second;
  if (!Added && wasCountedElsewhere(Account, Before, Use, Now)) {
    // The other member has counted only those that it heard, and so has this
    // one.
    Account.InheritedRate = requestRate(Account, Now) + Use.KnownRequestRate;
    Account.Tokens = burstOf(Quota);
    Account.OpenedAt = Now;
    Account.TakenOver = false;
  }
  bool CountersKnown = !Added && Before.Incarnation == Report.Incarnation &&
                       Before.ReportedAt >= Account.OpenedAt &&
                       Now < Before.ReportedAt + QuotaCounterLifetime;
  std::int64_t Requested = Use.Requested - Before.Requested;
  std::int64_t Admitted = Use.Admitted - Before.Admitted;
  if (!CountersKnown) {
    Requested = 1;
    Admitted = Use.RecentlyAdmitted;
    bool ByOther = Use.KnownRequestRate > 0 &&
                   Now - Use.KnownRequestRateAge <= Account.OpenedAt;
    if (ByOther)
      Account.InheritedRate =
          std::max(Account.InheritedRate, Use.KnownRequestRate);
    // What a process has admitted before its start is not known.
    auto Unknown = std::max(milliseconds(0), Settings.Window - Report.Uptime);
    bool WasCounted = ByOther || Unknown.count() > 0;
    // The first reports tell what has been used of the window.
    if (isOpening(Account, Now) && WasCounted &&
        !std::exchange(Account.TakenOver, true)) {
      Account.Tokens += windowOf(Quota);
      Account.UnknownLeft = windowOf(Quota);
    }
    if (isTakingOver(Account, Now)) {
      // A coordinator that has just started itself knows few members.
      double Assumed = std::min(
          Account.UnknownLeft,
          Quota.RatePerSecond * inSeconds(Unknown) /
              static_cast<double>(std::max<std::size_t>(1, Fleet.Members)));
      Account.UnknownLeft -= Assumed;
      Account.Tokens -= Assumed;
    }
  }
  if (!CountersKnown && !isOpening(Account, Now) &&
      Now < Account.OpenedAt + Settings.Window) {
    double Covered =
        std::min(Account.Unreported, static_cast<double>(Admitted));
    Account.Unreported -= Covered;
    Account.Tokens += Covered;
  }
  double All = std::transform_reduce(
      Account.Processes.begin(), Account.Processes.end(), 0.0, std::plus{},
      [Now](const auto &Entry) { return Entry.second.rateAt(Now); });
  double Rate = Before.rateAt(Now);
  double Part = All > 0 ? Rate / All : 0;
  Before = {Report.Incarnation,
            Use.Requested,
            Use.Admitted,
            Now,
            Rate + static_cast<double>(Requested) / inSeconds(RateTime),
            Use.KeepsReporting};
  Account.Tokens -= static_cast<double>(Admitted);
  std::int64_t Newest = Now.time_since_epoch() / RatePart;
  std::int64_t Passed = std::clamp<std::int64_t>(
      Newest - Account.NewestPart, 0, static_cast<std::int64_t>(RateParts));
  std::shift_right(Account.Requests.begin(), Account.Requests.end(), Passed);
  std::fill_n(Account.Requests.begin(), Passed, 0);
  Account.NewestPart = std::max(Account.NewestPart, Newest);
  Account.Requests.front() += std::max<std::int64_t>(0, Requested);
  return Part;
}

double quota_ledger::silentPart(const account &Account, steady_time Now) const {
  if (Now > Account.AnnouncedAt + AnnouncementEffect)
    return 0;
  double All = 0;
  double Silent = 0;
  for (const process_count &Each : Account.Processes | std::views::values) {
    auto Silence = Now - Each.ReportedAt;
    if (Silence > SilenceLifetime)
      continue;
    All += Each.Rate;
    if (Silence > SilenceTime && Each.KeepsReporting &&
        Each.ReportedAt >= Account.RestrictedSince)
      Silent += Each.Rate;
  }
  return All > 0 ? Silent / All : 0;
}

double quota_ledger::heardPart(const account &Account, const quota_fleet &Fleet,
                               steady_time Now) const {
  return std::min(Fleet.Heard, 1 - silentPart(Account, Now));
}

double quota_ledger::requestRate(const account &Account,
                                 steady_time Now) const {
  std::int64_t Passed = std::clamp<std::int64_t>(
      Now.time_since_epoch() / RatePart - Account.NewestPart, 0,
      static_cast<std::int64_t>(RateParts));
  auto SumOf = [&](std::size_t Parts) {
    auto Kept =
        std::max<std::int64_t>(0, static_cast<std::int64_t>(Parts) - Passed);
    return std::accumulate(Account.Requests.begin(),
                           Account.Requests.begin() + Kept, std::int64_t{0});
  };
  auto PerSecond = [](std::int64_t Requests, std::size_t Parts) {
    return static_cast<double>(Requests) /
           (inSeconds(RatePart) * static_cast<double>(Parts));
  };
  double Rate = PerSecond(SumOf(RateParts), RateParts);
  std::int64_t Recent = SumOf(RecentRateParts);
  if (Recent >= MinRecentRequests)
    Rate = std::max(Rate, PerSecond(Recent, RecentRateParts));
  return isTakingOver(Account, Now) ? std::max(Rate, Account.InheritedRate)
                                    : Rate;
}

quota_share quota_ledger::shareOf(const std::string &Organisation,
                                  account &Account, const request_quota &Quota,
                                  const quota_fleet &Fleet,
                                  steady_time Now) const {
  refill(Account, Quota, Fleet, Now);
  double Rate = requestRate(Account, Now);
  // What is left of the window is known only when all have reported.
  double Balance = isTakingOver(Account, Now) ? std::min(Account.Tokens, 0.0)
                                              : Account.Tokens;
  double Heard = heardPart(Account, Fleet, Now);
  double Allowed =
      Quota.RatePerSecond * Heard + Balance / inSeconds(BalanceTime);
  bool Lasts = Balance > Rate * inSeconds(ReactionTime);
  double Share =
      Lasts ? UnrestrictedShare
            : std::clamp(Allowed / std::max(Rate, 1.0), 0.0, UnrestrictedShare);
  bool WasRestricted = std::exchange(Account.Restricted, Share < 1);
  if (Account.Restricted) {
    if (Now > Account.RestrictedAt + AnnouncementEffect)
      Account.RestrictedSince = Now;
    Account.RestrictedAt = Now;
  }
  if (Account.Restricted != WasRestricted &&
      Now >= Account.LoggedAt + LogInterval) {
    Account.LoggedAt = Now;
    event_line("quota_restriction")
        .with("organisation", Organisation)
        .with("restricted", Account.Restricted)
        .with("share", Share)
        .with("requests_per_second", Rate)
        .with("quota_per_second", Quota.RatePerSecond)
        .with("tokens", Account.Tokens)
        .with("heard", Heard)
        .with("processes", Account.Processes.size());
  }
  return {Organisation, Share, Rate};
}

std::vector<quota_share>
quota_ledger::onReport(std::string_view Process, const quota_report &Report,
                       const organisation_table &Organisations,
                       const quota_fleet &Fleet, steady_time Now) {
  std::vector<quota_share> Answer;
  for (const quota_use &Use : Report.Uses) {
    const organisation *Organisation = Organisations.find(Use.Organisation);
    if (!Organisation || !Organisation->Quota.isLimited()) {
      Answer.push_back({Use.Organisation, UnrestrictedShare, 0});
      continue;
    }
    const request_quota &Quota = Organisation->Quota;
    account &Account = accountOf(Use.Organisation, Quota, Now);
    refill(Account, Quota, Fleet, Now);
    double Part = count(Account, Process, Report, Use, Quota, Fleet, Now);
    Answer.push_back(shareOf(Use.Organisation, Account, Quota, Fleet, Now));
    Answer.back().OwnPart = Part;
  }
  forgetIdle(Now);
  return Answer;
}

std::vector<quota_share>
quota_ledger::takeAnnouncements(const organisation_table &Organisations,
                                const quota_fleet &Fleet, steady_time Now) {
  std::vector<quota_share> Due;
  for (auto &[Name, Account] : Accounts) {
    if (!Account.Restricted || Now < Account.AnnouncedAt + AnnouncementInterval)
      continue;
    const organisation *Organisation = Organisations.find(Name);
    if (!Organisation || !Organisation->Quota.isLimited()) {
      Account.Restricted = false;
      continue;
    }
    quota_share Share = shareOf(Name, Account, Organisation->Quota, Fleet, Now);
    if (Share.Share >= 1)
      continue;
    Account.AnnouncedAt = Now;
    Due.push_back(std::move(Share));
  }
  return Due;
}

std::optional<steady_time> quota_ledger::nextWake() const {
  std::optional<steady_time> Next;
  for (const account &Account : Accounts | std::views::values)
    if (Account.Restricted) {
      steady_time Due = Account.AnnouncedAt + AnnouncementInterval;
      Next = std::min(Next.value_or(Due), Due);
    }
  return Next;
}

std::size_t quota_ledger::restricted() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Accounts | std::views::values, &account::Restricted));
}

void quota_ledger::forgetIdle(steady_time Now) {
  constexpr milliseconds CleanupInterval{1'000};
  if (Now < NextCleanup)
    return;
  NextCleanup = Now + CleanupInterval;
  auto IsIdle = [Now](const auto &Entry) {
    return Now > Entry.second.ReportedAt + IdleLifetime;
  };
  std::erase_if(Accounts, IsIdle);
  for (account &Account : Accounts | std::views::values)
    std::erase_if(Account.Processes, IsIdle);
}

} // namespace endiverail

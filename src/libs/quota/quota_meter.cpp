#include "quota/quota_meter.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace endiverail {
namespace {

/// Requests that may pass before the first answer, however small the quota is:
/// callers often send two at once.
constexpr double MinUnconfirmed = 2;
/// Retry-After of a rejected request, at least.
constexpr milliseconds MinRetryDelay{500};

} // namespace

std::string_view quotaBasisName(quota_basis Basis) {
  switch (Basis) {
  case quota_basis::Unlimited:
    return "unlimited";
  case quota_basis::Share:
    return "share";
  case quota_basis::Unconfirmed:
    return "unconfirmed";
  case quota_basis::OwnPart:
    break;
  }
  return "own-part";
}

double quota_meter::inSeconds(steady_time::duration Time) const {
  return std::chrono::duration<double>(Time).count();
}

double quota_meter::tolerance(const request_quota &Quota) const {
  double Window = inSeconds(Settings.Window);
  return Settings.Overage * (Quota.RatePerSecond * Window + Quota.Burst) +
         Settings.Slack;
}

std::int64_t quota_meter::windowPart(steady_time Now) const {
  return Now.time_since_epoch() /
         (Settings.Window / static_cast<std::int64_t>(WindowParts));
}

quota_meter::usage &quota_meter::usageOf(std::string_view Organisation,
                                         steady_time Now) {
  auto [Found, Added] = Usages.try_emplace(std::string(Organisation));
  usage &Usage = Found->second;
  if (Added) {
    // Processes that see few requests each let the share of them pass only on
    // average.
    std::uniform_real_distribution<double> Fraction(0, 1);
    Usage.Credit = Fraction(Random);
    Usage.Tokens = Fraction(Random);
    Usage.TokensAt = Usage.LastRequest = Now;
    Usage.NewestPart = windowPart(Now);
  }
  return Usage;
}

void quota_meter::recordAdmitted(usage &Usage, std::int64_t Count,
                                 steady_time Now) const {
  Usage.Admitted += Count;
  std::int64_t Part = windowPart(Now);
  std::int64_t Passed = std::clamp<std::int64_t>(
      Part - Usage.NewestPart, 0, static_cast<std::int64_t>(KeptParts));
  std::shift_right(Usage.Recent.begin(), Usage.Recent.end(), Passed);
  std::fill_n(Usage.Recent.begin(), Passed, 0);
  Usage.NewestPart = std::max(Usage.NewestPart, Part);
  Usage.Recent.front() += Count;
}

std::int64_t quota_meter::recentlyAdmitted(const usage &Usage,
                                           steady_time Now) const {
  std::int64_t Passed =
      std::clamp<std::int64_t>(windowPart(Now) - Usage.NewestPart, 0,
                               static_cast<std::int64_t>(KeptParts));
  std::int64_t Sum = std::accumulate(
      Usage.Recent.begin(), Usage.Recent.end() - Passed, std::int64_t{0});
  return std::max<std::int64_t>(0, Sum);
}

bool quota_meter::isUnanswered(const usage &Usage, steady_time Now) const {
  return Usage.AskedAt && Now > *Usage.AskedAt + AnswerTimeout;
}

quota_decision quota_meter::admit(std::string_view Organisation,
                                  const request_quota &Quota, steady_time Now) {
  if (Organisation.empty() || !Quota.isLimited())
    return {};
  usage &Usage = usageOf(Organisation, Now);
  ++Usage.Requested;
  Usage.LastRequest = Now;
  quota_decision Decision = decide(Usage, Quota, Now);
  if (Decision.Admitted)
    recordAdmitted(Usage, 1, Now);
  Usage.Unreported = true;
  scheduleReport(std::max(Now, Usage.ReportedAt + ReportInterval));
  return Decision;
}

quota_decision quota_meter::decide(usage &Usage, const request_quota &Quota,
                                   steady_time Now) {
  if (isUnanswered(Usage, Now))
    return decideByOwnPart(Usage, Quota, Now);
  double Limit = unconfirmedLimit(Quota);
  bool MayExceed = static_cast<double>(Usage.SinceAnswer) < Limit;
  if (Usage.ShareValid && Now <= *Usage.AnsweredAt + ShareLifetime) {
    // A surge may have begun that the coordinator can't know of yet.
    double Surge =
        Limit + Usage.OwnPart *
                    (Quota.Burst + Quota.RatePerSecond * inSeconds(SurgeTime));
    if (Usage.Share >= 1 && static_cast<double>(Usage.SinceAnswer) >= Surge)
      return decideByOwnPart(Usage, Quota, Now);
    ++Usage.SinceAnswer;
    return decideByShare(Usage, Now);
  }
  bool Silent = Usage.AnsweredAt && !Usage.ShareValid;
  if (Silent || !MayExceed)
    return decideByOwnPart(Usage, Quota, Now);
  ++Usage.SinceAnswer;
  return {true, quota_basis::Unconfirmed, Limit};
}

quota_decision quota_meter::decideByShare(usage &Usage, steady_time Now) {
  // Tokens accrue only while they are what decides.
  Usage.TokensAt = Now;
  quota_decision Decision{true, quota_basis::Share, Usage.Share};
  if (Usage.Share >= 1)
    return Decision;
  Usage.Credit += Usage.Share;
  Decision.Admitted = Usage.Credit >= 1;
  if (Decision.Admitted) {
    Usage.Credit -= 1;
    return Decision;
  }
  // The longer the more of the organisation's requests are rejected, and not at
  // the same time for all.
  std::uniform_real_distribution<double> Spread(0.75, 1.25);
  Decision.RetryAfter = std::max(
      MinRetryDelay, std::chrono::duration_cast<milliseconds>(
                         Settings.Window * (1 - Usage.Share) * Spread(Random)));
  return Decision;
}

double quota_meter::unconfirmedLimit(const request_quota &Quota) const {
  return std::max(MinUnconfirmed,
                  tolerance(Quota) / static_cast<double>(std::max<std::size_t>(
                                         1, MemberCount)));
}

quota_decision quota_meter::decideByOwnPart(usage &Usage,
                                            const request_quota &Quota,
                                            steady_time Now) const {
  // Without recent knowledge, all processes together may use only the part of
  // the window by which the quota may be exceeded.
  bool Recent = Usage.AnsweredAt && Now <= *Usage.AnsweredAt + OwnPartLifetime;
  double Rate =
      Recent ? OwnPartUse * Usage.OwnPart * Quota.RatePerSecond
             : tolerance(Quota) / inSeconds(Settings.Window) /
                   static_cast<double>(std::max<std::size_t>(1, MemberCount));
  Usage.Tokens =
      std::min(std::max(MinUnconfirmed, MinUnconfirmed * Rate),
               Usage.Tokens + Rate * inSeconds(Now - Usage.TokensAt));
  Usage.TokensAt = Now;
  quota_decision Decision{Usage.Tokens >= 1, quota_basis::OwnPart, Rate};
  if (Decision.Admitted)
    Usage.Tokens -= 1;
  else
    Decision.RetryAfter = std::clamp<milliseconds>(
        std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(
            (1 - Usage.Tokens) / std::max(Rate, 1e-3))),
        MinRetryDelay, Settings.Window);
  return Decision;
}

void quota_meter::takeBack(std::string_view Organisation, steady_time Now) {
  auto Found = Usages.find(std::string(Organisation));
  if (Found == Usages.end())
    return;
  recordAdmitted(Found->second, -1, Now);
  Found->second.Unreported = true;
  scheduleReport(Now + ReportInterval);
}

void quota_meter::onShares(std::span<const quota_share> Shares,
                           steady_time Now) {
  for (const quota_share &Answer : Shares) {
    usage &Usage = usageOf(Answer.Organisation, Now);
    Usage.OwnPart = Answer.OwnPart.value_or(Usage.OwnPart);
    Usage.Share = Answer.Share;
    Usage.ShareValid = true;
    Usage.RequestRate = Answer.RequestRate;
    Usage.AnsweredAt = Now;
    Usage.SinceAnswer = 0;
    Usage.TokensAt = Now;
    if (Answer.Share < 1)
      Usage.RestrictedAt = Now;
    if (needsKeepAlive(Usage, Now))
      scheduleReport(Usage.ReportedAt + KeepAliveInterval);
    Usage.AskedAt.reset();
  }
}

bool quota_meter::needsKeepAlive(const usage &Usage, steady_time Now) const {
  return Usage.RestrictedAt &&
         Now < *Usage.RestrictedAt + RestrictionLifetime &&
         Now < Usage.LastRequest + OwnPartLifetime;
}

std::optional<steady_time> quota_meter::reportDue(const usage &Usage,
                                                  steady_time Now) const {
  if (Usage.Unreported)
    return Usage.ReportedAt + ReportInterval;
  if (Usage.AskedAt)
    return Usage.ReportedAt + RepeatInterval;
  if (needsKeepAlive(Usage, Now))
    return Usage.ReportedAt + KeepAliveInterval;
  return std::nullopt;
}

std::vector<quota_use> quota_meter::takeReport(steady_time Now) {
  std::vector<quota_use> Report;
  ReportDue.reset();
  for (auto &[Organisation, Usage] : Usages) {
    if (Usage.AskedAt && Now >= *Usage.AskedAt + GiveUpTime &&
        !Usage.Unreported) {
      Usage.AskedAt.reset();
      Usage.ShareValid = false;
    }
    auto Due = reportDue(Usage, Now);
    if (Due && *Due <= Now) {
      Report.push_back(makeUse(Organisation, Usage, Now));
      Usage.Unreported = false;
      Usage.ReportedAt = Now;
      if (!Usage.AskedAt)
        Usage.AskedAt = Now;
      Due = reportDue(Usage, Now);
    }
    if (Due)
      scheduleReport(*Due);
  }
  return Report;
}

quota_use quota_meter::makeUse(const std::string &Organisation,
                               const usage &Usage, steady_time Now) const {
  quota_use Use;
  Use.Organisation = Organisation;
  Use.Requested = Usage.Requested;
  Use.Admitted = Usage.Admitted;
  Use.RecentlyAdmitted = recentlyAdmitted(Usage, Now);
  Use.KeepsReporting = needsKeepAlive(Usage, Now);
  if (Usage.AnsweredAt && Now <= *Usage.AnsweredAt + OwnPartLifetime) {
    Use.KnownRequestRate = Usage.RequestRate;
    Use.KnownRequestRateAge =
        std::chrono::duration_cast<milliseconds>(Now - *Usage.AnsweredAt);
  }
  return Use;
}

void quota_meter::expire(steady_time Now) {
  std::erase_if(Usages, [&](const auto &Entry) {
    const usage &Usage = Entry.second;
    return !Usage.Unreported && !Usage.AskedAt &&
           Now > Usage.LastRequest + IdleLifetime &&
           (!Usage.AnsweredAt || Now > *Usage.AnsweredAt + IdleLifetime);
  });
}

} // namespace endiverail

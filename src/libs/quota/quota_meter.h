#pragma once

#include "quota/quota_messages.h"
#include "version/organisation_table.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiverail {

/// Why a request is within its organisation's quota or beyond it, as far as
/// this process knows.
enum class quota_basis {
  /// The organisation has no quota.
  Unlimited,
  /// The share that the coordinator has set.
  Share,
  /// The coordinator has not been asked yet, or its answer is on the way.
  Unconfirmed,
  /// The coordinator does not answer: this process's part of the quota, by its
  /// part of the last known requests.
  OwnPart,
};

std::string_view quotaBasisName(quota_basis Basis);

struct quota_decision {
  bool Admitted = true;
  quota_basis Basis = quota_basis::Unlimited;
  /// Share or requests a second that the decision was made by.
  double Value = 0;
  /// When a rejected caller may come back.
  milliseconds RetryAfter{0};
};

/// Decides on one process whether a request is within its organisation's quota.
/// Answers the load of an organisation that sends more than its quota through
/// many processes, while some of them may not hear each other. It counts the
/// requests and reports them to the organisation's coordinator, which sets the
/// share of them that passes. A process that gets no answer goes on with its
/// own part of the quota, so that all parts together stay within it. No clock,
/// no transport.
class quota_meter {
public:
  quota_meter(quota_settings Settings, std::uint64_t Seed)
      : Settings(Settings), Random(Seed) {}

  /// Number of processes that share the quotas.
  void setMemberCount(std::size_t Count) { MemberCount = Count; }

  /// Decides on a request that has just come.
  quota_decision admit(std::string_view Organisation,
                       const request_quota &Quota, steady_time Now);

  /// A request that was admitted has been rejected and will not run, so it
  /// doesn't count.
  void takeBack(std::string_view Organisation, steady_time Now);

  void onShares(std::span<const quota_share> Shares, steady_time Now);

  /// When the next report is due, if there is anything to report.
  std::optional<steady_time> nextReport() const { return ReportDue; }

  /// The organisations with requests since their last report, and those whose
  /// last report may have been lost.
  std::vector<quota_use> takeReport(steady_time Now);

  /// Forgets organisations without requests.
  void expire(steady_time Now);

  std::size_t size() const { return Usages.size(); }

  /// How long requests are collected for a report.
  static constexpr milliseconds ReportInterval{100};
  /// A report whose answer takes longer than this counts as unanswered.
  static constexpr milliseconds AnswerTimeout{200};
  /// After this time without an answer a report is sent again, and after
  /// GiveUpTime only with new requests.
  static constexpr milliseconds RepeatInterval{100};
  static constexpr milliseconds GiveUpTime{1'000};
  /// While an organisation is restricted, a process that has had requests of it
  /// lately reports at least this often, to be told from one that is cut off.
  static constexpr milliseconds KeepAliveInterval{300};
  /// A restriction is assumed to go on for this long after the last answer that
  /// told it.
  static constexpr milliseconds RestrictionLifetime{2'000};
  /// How long an answer applies.
  static constexpr milliseconds ShareLifetime{2'000};
  /// How long a process uses the part of the quota that follows from the last
  /// answer.
  static constexpr milliseconds OwnPartLifetime{10'000};
  /// An organisation without requests for this long is forgotten.
  static constexpr milliseconds IdleLifetime{12'000};
  static_assert(IdleLifetime > QuotaCounterLifetime);

private:
  /// Part of the own part of a quota that is used without a coordinator. The
  /// rest makes up for what passes before its silence is noticed.
  static constexpr double OwnPartUse = 0.9;
  static constexpr std::size_t WindowParts = 10;
  /// Parts that cover at least the window.
  static constexpr std::size_t KeptParts = WindowParts + 1;

  struct usage {
    std::int64_t Requested = 0;
    std::int64_t Admitted = 0;
    /// Admitted requests by parts of the window, and the part that the first
    /// one is of.
    std::array<std::int64_t, KeptParts> Recent{};
    std::int64_t NewestPart = 0;
    steady_time LastRequest;
    bool Unreported = false;
    /// The first report that has not been answered.
    std::optional<steady_time> AskedAt;
    /// The last answer, and this process's part of the organisation's requests
    /// at that time.
    std::optional<steady_time> AnsweredAt;
    double Share = 1;
    /// When an answer last told a share below 1.
    std::optional<steady_time> RestrictedAt;
    /// False once a later report has gone unanswered.
    bool ShareValid = false;
    double OwnPart = 0;
    double RequestRate = 0;
    steady_time ReportedAt;
    /// Admitted since the last answer, without one to go by.
    std::size_t Unconfirmed = 0;
    /// Shares of requests that have not added up to a request yet.
    double Credit = 0;
    /// Tokens of the own part.
    double Tokens = 0;
    steady_time TokensAt;
  };

  bool needsKeepAlive(const usage &Usage, steady_time Now) const;
  void scheduleReport(steady_time Due) {
    ReportDue = std::min(ReportDue.value_or(Due), Due);
  }
  /// When the organisation is to be reported, if at all.
  std::optional<steady_time> reportDue(const usage &Usage,
                                       steady_time Now) const;
  quota_use makeUse(const std::string &Organisation, const usage &Usage,
                    steady_time Now) const;
  usage &usageOf(std::string_view Organisation, steady_time Now);
  void recordAdmitted(usage &Usage, std::int64_t Count, steady_time Now) const;
  std::int64_t recentlyAdmitted(const usage &Usage, steady_time Now) const;
  std::int64_t windowPart(steady_time Now) const;
  bool isUnanswered(const usage &Usage, steady_time Now) const;
  quota_decision decide(usage &Usage, const request_quota &Quota,
                        steady_time Now);
  quota_decision decideByShare(usage &Usage, steady_time Now);
  /// Number of requests that may pass before the coordinator has answered.
  double unconfirmedLimit(const request_quota &Quota) const;
  quota_decision decideByOwnPart(usage &Usage, const request_quota &Quota,
                                 steady_time Now) const;
  /// The requests of a window by which a quota may be exceeded.
  double tolerance(const request_quota &Quota) const;
  double inSeconds(steady_time::duration Time) const;

  quota_settings Settings;
  std::mt19937_64 Random;
  std::size_t MemberCount = 1;
  std::unordered_map<std::string, usage> Usages;
  std::optional<steady_time> ReportDue;
};

} // namespace endiverail

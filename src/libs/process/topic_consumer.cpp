#include "process/topic_consumer.h"

#include <algorithm>
#include <utility>

namespace endiverail {

std::optional<store_call> topic_consumer::next(steady_time Now) {
  if (CallPending || Now < Due)
    return std::nullopt;
  CallPending = true;
  CallStarted = LastProgress = Now;
  ResponseStarted = SoftTimeoutReported = false;
  CurrentConnection = NextConnection;
  if (!NextOffset) {
    if (AfterKey.empty())
      ListingStarted = Now;
    return list_newest{Topic, AfterKey};
  }
  return read_records{Topic, *NextOffset, Polling.MaxWait};
}

void topic_consumer::onResponseStarted(steady_time Now) {
  ResponseStarted = true;
  NextConnection = Now < LastProgress + Polling.MaxWait + SoftTimeout
                       ? connection_choice::Reuse
                       : connection_choice::Fresh;
}

call_timeout topic_consumer::takeTimeout(steady_time Now) {
  if (!CallPending || ResponseStarted ||
      Now < LastProgress + Polling.MaxWait + SoftTimeout)
    return call_timeout::None;
  if (CurrentConnection == connection_choice::Reuse ||
      Now >= LastProgress + Polling.MaxWait + HardTimeout)
    return call_timeout::Hard;
  return std::exchange(SoftTimeoutReported, true) ? call_timeout::None
                                                  : call_timeout::Soft;
}

void topic_consumer::onPage(const keyed_page &Page, steady_time Now) {
  CallPending = false;
  CompletedListing = false;
  Failures = 0;
  LastResponse = Now;
  Due = Now + Polling.Interval;
  UpToDateAsOf.reset();
  if (NextOffset) {
    *NextOffset += Page.Records.size();
    // A full page doesn't include all records.
    if (*NextOffset >= Page.EndOffset)
      UpToDateAsOf = CallStarted;
    else if (!Page.Records.empty())
      Due = Now;
    return;
  }
  if (!ResumeOffset)
    ResumeOffset = Page.EndOffset;
  if (Page.HasMore && !Page.Records.empty()) {
    AfterKey = Page.Records.back().Key;
    Due = Now;
    return;
  }
  NextOffset = *ResumeOffset;
  ResumeOffset.reset();
  AfterKey.clear();
  CompletedListing = true;
  UpToDateAsOf = ListingStarted;
}

void topic_consumer::onRecordsDeleted(steady_time Now) {
  CallPending = false;
  Failures = 0;
  LastResponse = Now;
  restart(Now);
}

void topic_consumer::restart(steady_time Now) {
  NextOffset.reset();
  ResumeOffset.reset();
  AfterKey.clear();
  Due = Now;
}

bool topic_consumer::restartWhenDue(steady_time Earliest) {
  restart(std::max(Due, Earliest));
  return std::exchange(CallPending, false);
}

bool topic_consumer::onFailure(steady_time Now,
                               const backoff_settings &Backoff) {
  CallPending = false;
  FailedAt = Now;
  NextConnection = connection_choice::Fresh;
  if (CurrentConnection == connection_choice::Reuse && !ResponseStarted) {
    Due = Now;
    return false;
  }
  constexpr std::size_t MaxDoublings = 6;
  milliseconds Delay = std::min(
      Backoff.Max, Backoff.Initial * (1 << std::min(Failures, MaxDoublings)));
  ++Failures;
  std::uniform_int_distribution<std::int64_t> Jitter(Delay.count() / 2,
                                                     Delay.count());
  Due = Now + milliseconds(Jitter(Random));
  return !ResponseStarted &&
         Now < LastProgress + Polling.MaxWait + 2 * HardTimeout;
}

bool topic_consumer::pollNow(steady_time Now) {
  Due = std::min(Due, Now);
  return std::exchange(CallPending, false);
}

std::optional<steady_time> topic_consumer::nextWake() const {
  if (!CallPending)
    return Due;
  if (ResponseStarted)
    return std::nullopt;
  return LastProgress + Polling.MaxWait +
         (SoftTimeoutReported ? HardTimeout : SoftTimeout);
}

} // namespace endiverail

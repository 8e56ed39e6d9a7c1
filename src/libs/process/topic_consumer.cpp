#include "process/topic_consumer.h"

#include <algorithm>
#include <utility>

namespace endiverail {

std::optional<store_call> topic_consumer::next(steady_time Now) {
  if (CallOut || Now < Due)
    return std::nullopt;
  CallOut = true;
  CallStarted = Progress = Now;
  Answering = SilenceNoticed = false;
  Used = Next;
  if (!Position) {
    if (After.empty())
      ListingStarted = Now;
    return list_newest{Topic, After};
  }
  return read_records{Topic, *Position, Terms.Wait};
}

void topic_consumer::onAnswering(steady_time Now) {
  Answering = true;
  Next = Now < Progress + Terms.Wait + AnswerTime ? connection_choice::Reuse
                                                  : connection_choice::Fresh;
}

call_silence topic_consumer::takeSilence(steady_time Now) {
  if (!CallOut || Answering || Now < Progress + Terms.Wait + AnswerTime)
    return call_silence::None;
  if (Used == connection_choice::Reuse ||
      Now >= Progress + Terms.Wait + SilenceTime)
    return call_silence::Lost;
  return std::exchange(SilenceNoticed, true) ? call_silence::None
                                             : call_silence::Noticed;
}

void topic_consumer::onPage(const keyed_page &Page, steady_time Now) {
  CallOut = false;
  EndedListing = false;
  Failures = 0;
  LastAnswer = Now;
  Due = Now + Terms.Pause;
  CompleteAsOf.reset();
  if (Position) {
    *Position += Page.Records.size();
    // A page that is full leaves the daemon behind.
    if (*Position >= Page.End)
      CompleteAsOf = CallStarted;
    else if (!Page.Records.empty())
      Due = Now;
    return;
  }
  if (!ListedFrom)
    ListedFrom = Page.End;
  if (Page.More && !Page.Records.empty()) {
    After = Page.Records.back().Key;
    Due = Now;
    return;
  }
  Position = *ListedFrom;
  ListedFrom.reset();
  After.clear();
  EndedListing = true;
  CompleteAsOf = ListingStarted;
}

void topic_consumer::onForgotten(steady_time Now) {
  CallOut = false;
  Failures = 0;
  LastAnswer = Now;
  restart(Now);
}

void topic_consumer::restart(steady_time Now) {
  Position.reset();
  ListedFrom.reset();
  After.clear();
  Due = Now;
}

bool topic_consumer::onFailure(steady_time Now, const back_off &Pauses) {
  CallOut = false;
  FailedAt = Now;
  Next = connection_choice::Fresh;
  if (Used == connection_choice::Reuse && !Answering) {
    Due = Now;
    return false;
  }
  constexpr std::size_t MostDoublings = 6;
  milliseconds BackOff = std::min(
      Pauses.Longest, Pauses.First * (1 << std::min(Failures, MostDoublings)));
  ++Failures;
  std::uniform_int_distribution<std::int64_t> Spread(BackOff.count() / 2,
                                                     BackOff.count());
  Due = Now + milliseconds(Spread(Random));
  return !Answering && Now < Progress + Terms.Wait + 2 * SilenceTime;
}

bool topic_consumer::hurry(steady_time Now) {
  Due = std::min(Due, Now);
  return std::exchange(CallOut, false);
}

std::optional<steady_time> topic_consumer::nextWake() const {
  if (!CallOut)
    return Due;
  if (Answering)
    return std::nullopt;
  return Progress + Terms.Wait + (SilenceNoticed ? SilenceTime : AnswerTime);
}

} // namespace endiverail

#pragma once

#include "connection/backend_connection.h"
#include "process/keyed_store.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace endiverail {

/// How a topic is read.
struct poll_settings {
  /// From the end of a read to the next one.
  milliseconds Interval{0};
  /// How long the store may hold a read until a record comes.
  milliseconds MaxWait{0};
};

/// The pause after a failed call: it doubles from the first one up to the
/// longest one, and is spread over a half, so that daemons do not return all at
/// once.
struct backoff_settings {
  milliseconds Initial{0};
  milliseconds Max{0};
};

/// What is to be made of a call's silence.
enum class call_timeout {
  None,
  /// The store does not answer; the call may still be answered.
  Soft,
  /// The call is to be given up, as one that has failed.
  Hard,
};

/// Follows one topic of the store: lists the newest records once, then reads on
/// from where the listing ended, and lists again when the store has deleted
/// records that were not read yet. One call is out at a time.
class topic_consumer {
public:
  /// Of a daemon that others hear the news from.
  static constexpr backoff_settings ReaderBackoff{milliseconds(100),
                                                  milliseconds(800)};
  /// Of a daemon that hears the news from others: while the store is away, all
  /// daemons try, and each refused call is charged.
  static constexpr backoff_settings NonReaderBackoff{milliseconds(1'200),
                                                     milliseconds(2'400)};
  /// The longest pause where nobody is heard.
  static constexpr milliseconds IsolatedRetryDelay{1'300};
  /// From a call, and what the store may hold it, to the first byte of its
  /// answer. A store that is slow has that time, too.
  static constexpr milliseconds SoftTimeout{400};
  /// A call without a byte of an answer is given up then.
  static constexpr milliseconds HardTimeout{600};

  topic_consumer(store_topic Topic, poll_settings Polling, std::uint64_t Seed)
      : Topic(Topic), Polling(Polling), Random(Seed) {}

  /// The call that is due, if there is one. Its end has to be told.
  std::optional<store_call> next(steady_time Now);

  /// What the call that is out goes on: a connection that was kept may have
  /// gone silent, so that only an answer in time makes it worth keeping.
  connection_choice connection() const { return CurrentConnection; }
  /// The next call is to go on a connection of its own.
  void useFreshConnection() { NextConnection = connection_choice::Fresh; }

  /// The call has left, on its connection.
  void onSent(steady_time Now) { LastProgress = Now; }
  /// The head of a successful answer is there.
  void onResponseStarted(steady_time Now);
  /// What the call's silence says by now; Noticed once for a call.
  call_timeout takeTimeout(steady_time Now);

  /// The call has brought a page.
  void onPage(const keyed_page &Page, steady_time Now);
  /// The store has deleted records that were not read.
  void onRecordsDeleted(steady_time Now);
  /// The call has failed, or its answer makes no sense. Returns whether that
  /// shows that the store serves nobody: a kept connection may have failed by
  /// itself, and what a late thread takes for a time-out may be its own delay.
  bool onFailure(steady_time Now,
                 const backoff_settings &Backoff = ReaderBackoff);

  /// Waits no longer than \p Most after the call that has failed.
  void limitRetryDelay(milliseconds MaxDelay) {
    Due = std::min(Due, FailedAt + MaxDelay);
  }
  /// When the last call failed.
  steady_time failedAt() const { return FailedAt; }

  /// Reads at once, as somebody knows more. Returns whether a call is out that
  /// has to be abandoned for it.
  bool pollNow(steady_time Now);

  /// Begins with a listing again.
  void restart(steady_time Now);

  /// Whether a listing was read to its end since the last loss of records.
  bool hasListing() const { return NextOffset.has_value(); }
  /// Whether the page that came last was a listing's, and its last one.
  bool completedListing() const { return CompletedListing; }
  /// The time as of which all records are read by the page that came last;
  /// nothing when more are there.
  std::optional<steady_time> upToDateAsOf() const { return UpToDateAsOf; }
  /// When the store last answered.
  steady_time lastResponse() const { return LastResponse; }
  bool failing() const { return Failures > 0; }
  /// Offset of the next record to read; nothing before a listing has ended.
  std::optional<std::uint64_t> nextOffset() const { return NextOffset; }
  bool callPending() const { return CallPending; }
  /// When a call is due, or the silence of the one that is out says something.
  std::optional<steady_time> nextWake() const;

private:
  store_topic Topic;
  poll_settings Polling;
  std::mt19937_64 Random;
  std::optional<std::uint64_t> NextOffset;
  /// Where reading begins once the listing in progress has ended: its first
  /// page's end, as the pages are no snapshot.
  std::optional<std::uint64_t> ResumeOffset;
  std::string AfterKey;
  bool CallPending = false;
  connection_choice CurrentConnection = connection_choice::Fresh;
  connection_choice NextConnection = connection_choice::Fresh;
  /// When the call that is out was last seen to move on.
  steady_time LastProgress;
  bool ResponseStarted = false;
  bool SoftTimeoutReported = false;
  bool CompletedListing = false;
  std::size_t Failures = 0;
  steady_time Due;
  steady_time FailedAt;
  steady_time LastResponse;
  steady_time CallStarted;
  steady_time ListingStarted;
  std::optional<steady_time> UpToDateAsOf;
};

} // namespace endiverail

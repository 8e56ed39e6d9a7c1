#pragma once

#include "connection/backend_connection.h"
#include "process/keyed_store.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace endiverail {

/// How a topic is polled.
struct poll_settings {
  /// Time from the end of a read to the next one.
  milliseconds Interval{0};
  /// How long the store may delay its response until there is a record (long
  /// polling).
  milliseconds MaxWait{0};
};

/// Exponential backoff after failed calls. The delay is chosen at random
/// between half and all of the current value, so that daemons don't retry at
/// the same time.
struct backoff_settings {
  milliseconds Initial{0};
  milliseconds Max{0};
};

/// The timeout of a call without a response.
enum class call_timeout {
  None,
  /// The store is late; the call may still get a response.
  Soft,
  /// The call has to be ended as failed.
  Hard,
};

/// Consumes one topic of the store: lists the newest records once, then reads
/// on from where the listing ended. Lists again if the store has deleted
/// records that were not read yet. At most one call is pending at a time.
class topic_consumer {
public:
  /// For a daemon that reads on behalf of the others.
  static constexpr backoff_settings ReaderBackoff{milliseconds(100),
                                                  milliseconds(800)};
  /// For a daemon that gets updates from the readers. During an outage of the
  /// store all daemons retry, and refused calls are billed too.
  static constexpr backoff_settings NonReaderBackoff{milliseconds(1'200),
                                                     milliseconds(2'400)};
  /// Longest delay of a daemon that receives nothing from its peers.
  static constexpr milliseconds IsolatedRetryDelay{1'300};
  /// Time from a call, plus its long-polling time, to the first byte of the
  /// response. Slow stores are allowed this time as well.
  static constexpr milliseconds SoftTimeout{400};
  /// Time after which a call without any response fails.
  static constexpr milliseconds HardTimeout{600};

  topic_consumer(store_topic Topic, poll_settings Polling, std::uint64_t Seed)
      : Topic(Topic), Polling(Polling), Random(Seed) {}

  /// Returns the call that is due, if any. Its end has to be reported.
  std::optional<store_call> next(steady_time Now);

  /// The connection for the pending call. A reused connection may have been
  /// lost without notice, so a connection is reused only after a response in
  /// time.
  connection_choice connection() const { return CurrentConnection; }
  /// Makes the next call on a new connection.
  void useFreshConnection() { NextConnection = connection_choice::Fresh; }

  /// The pending call was sent.
  void onSent(steady_time Now) { LastProgress = Now; }
  /// The header of a successful response was received.
  void onResponseStarted(steady_time Now);
  /// Returns the timeout that the pending call has reached. Soft is reported
  /// once for each call.
  call_timeout takeTimeout(steady_time Now);

  /// The call has returned a page.
  void onPage(const keyed_page &Page, steady_time Now);
  /// The store has deleted records that were not read yet.
  void onRecordsDeleted(steady_time Now);
  /// The call has failed, or its response can't be decoded. Returns whether
  /// this indicates an outage of the store: a reused connection may have failed
  /// by itself, and a thread that woke up late may see its own delay as a
  /// timeout.
  bool onFailure(steady_time Now,
                 const backoff_settings &Backoff = ReaderBackoff);

  /// Limits the delay after the failed call to \p MaxDelay.
  void limitRetryDelay(milliseconds MaxDelay) {
    Due = std::min(Due, FailedAt + MaxDelay);
  }
  steady_time failedAt() const { return FailedAt; }

  /// Reads immediately, because another daemon has newer records. Returns
  /// whether a pending call has to be aborted.
  bool pollNow(steady_time Now);

  /// Starts over with a listing.
  void restart(steady_time Now);
  /// Starts over with a listing when the next call is due, but not before
  /// \p Earliest. Returns whether a pending call has to be aborted.
  bool restartWhenDue(steady_time Earliest);

  /// Whether a listing was completed since records were last lost.
  bool hasListing() const { return NextOffset.has_value(); }
  /// Whether the last page completed a listing.
  bool completedListing() const { return CompletedListing; }
  /// The time as of which the last page made this consumer up to date; empty if
  /// there are more records.
  std::optional<steady_time> upToDateAsOf() const { return UpToDateAsOf; }
  /// When the store last responded.
  steady_time lastResponse() const { return LastResponse; }
  bool failing() const { return Failures > 0; }
  /// Offset of the next record to read; empty before the first listing is
  /// complete.
  std::optional<std::uint64_t> nextOffset() const { return NextOffset; }
  bool callPending() const { return CallPending; }
  /// When a call is due, or the pending call reaches its next timeout.
  std::optional<steady_time> nextWake() const;

private:
  store_topic Topic;
  poll_settings Polling;
  std::mt19937_64 Random;
  std::optional<std::uint64_t> NextOffset;
  /// Where to read from after the pending listing: the end offset of its first
  /// page, because the pages are not a consistent snapshot.
  std::optional<std::uint64_t> ResumeOffset;
  std::string AfterKey;
  bool CallPending = false;
  connection_choice CurrentConnection = connection_choice::Fresh;
  connection_choice NextConnection = connection_choice::Fresh;
  /// When the pending call last made progress.
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

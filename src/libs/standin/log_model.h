#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// How the log service misbehaves.
enum class log_fault {
  None,
  /// Answers nothing that is any use.
  Down,
  /// Takes appends but loses the answers.
  LostAnswers,
};

struct kept_record {
  std::uint64_t Offset = 0;
  std::int64_t TimeMilliseconds = 0;
  std::string Data;
};

/// The platform's log: append-only, with offsets and limited retention.
class log_model {
public:
  explicit log_model(std::int64_t RetentionMilliseconds)
      : RetentionMilliseconds(RetentionMilliseconds) {}

  std::uint64_t append(std::string Data, std::int64_t NowMilliseconds);

  /// The answer to a read, as JSON.
  std::string read(std::uint64_t From, std::size_t Most,
                   std::int64_t NowMilliseconds);

  std::uint64_t end() const { return Next; }
  std::uint64_t appends() const { return Next; }
  std::uint64_t reads() const { return Reads; }

private:
  void dropOld(std::int64_t NowMilliseconds);

  std::int64_t RetentionMilliseconds;
  std::uint64_t Next = 0;
  std::uint64_t Reads = 0;
  std::deque<kept_record> Records;
};

} // namespace endiverail

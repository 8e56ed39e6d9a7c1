#pragma once

#include "base/error_kind.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

inline constexpr std::string_view Version = "0.1.0";

/// Exit codes of all programs.
enum class exit_code { Success = 0, Failure = 1, Usage = 2 };

/// Reads flags and sets logging up. Returns the words that are no flags,
/// without the program's name.
std::vector<std::string> startProgram(int ArgumentCount, char **Arguments,
                                      std::string_view Usage);

/// A whole file as text. Fails with BadSettings.
result<std::string> readFile(const std::string &Name);

/// What an operator's signal asks for.
enum class process_signal { End, ReadSettings };

/// Ends the program's signals' default effects: SIGPIPE is ignored; SIGTERM,
/// SIGINT and SIGHUP wait to be taken. Call it before any thread starts.
void holdSignals();

/// Lets the calling thread rest.
void pauseFor(milliseconds Time);

/// Waits for SIGTERM or SIGINT.
void waitForEnd();

/// Waits for one of the signals for \p Longest at most; nothing when none came.
std::optional<process_signal> waitForSignal(milliseconds Longest);

} // namespace endiverail

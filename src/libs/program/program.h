#pragma once

#include "base/error_kind.h"
#include "base/time.h"

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

/// Ends the program's signals' default effects: SIGPIPE and SIGHUP are
/// ignored, SIGTERM and SIGINT wait to be taken by waitForEnd(). Call it
/// before any thread starts.
void holdSignals();

/// Lets the calling thread rest.
void pauseFor(milliseconds Time);

/// Waits for SIGTERM or SIGINT.
void waitForEnd();

} // namespace endiverail

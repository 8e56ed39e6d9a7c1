#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A daemon's structured log.
struct log_text {
  /// Where it comes from, such as the file's name.
  std::string Source;
  std::string Text;
};

/// One line of a story.
struct story_line {
  std::string Source;
  nlohmann::ordered_json Fields;
};

/// What the logs of a fleet tell of one request: its own lines, and what its
/// daemon came to believe while the request was there.
struct request_story {
  /// In the order of time.
  std::vector<story_line> Lines;
  /// Lines that are no event lines: torn ones, or another program's.
  std::size_t Skipped = 0;
};

request_story tellStory(std::string_view RequestId,
                        std::span<const log_text> Logs);

/// One sentence a line.
std::string storyText(const request_story &Story);
std::string storyJson(const request_story &Story);

} // namespace endiverail

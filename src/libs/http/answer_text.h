#pragma once

#include "request/caller_request.h"

#include <string>
#include <string_view>

namespace endiverail {

/// How the body of an answer is delimited.
enum class body_framing { None, Length, Chunked };

/// The head of an answer as HTTP/1.1 text.
std::string answerHeadText(const response_head &Head, body_framing Framing,
                           bool KeepAlive);

/// One chunk of a chunked body.
std::string chunkText(std::string_view Bytes);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";
inline constexpr std::string_view ContinueText =
    "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace endiverail

#include "http/answer_text.h"

#include <pistache/http_defs.h>
#include <spdlog/fmt/fmt.h>

#include <iterator>

namespace endiverail {

std::string answerHeadText(const response_head &Head, body_framing Framing,
                           bool KeepAlive) {
  std::string Text;
  auto Out = std::back_inserter(Text);
  fmt::format_to(Out, "HTTP/1.1 {} {}\r\n", Head.Status,
                 Pistache::Http::codeString(
                     static_cast<Pistache::Http::Code>(Head.Status)));
  for (const header_field &Field : Head.Headers)
    fmt::format_to(Out, "{}: {}\r\n", Field.Name, Field.Value);
  fmt::format_to(Out, "Endiverail-Outcome: {}\r\n", outcomeName(Head.Outcome));
  if (Framing == body_framing::Length && mayHaveBody(Head.Status))
    fmt::format_to(Out, "Content-Length: {}\r\n", Head.Length.value_or(0));
  if (Framing == body_framing::Chunked && mayHaveBody(Head.Status))
    Text += "Transfer-Encoding: chunked\r\n";
  fmt::format_to(Out, "Connection: {}\r\n\r\n",
                 KeepAlive ? "keep-alive" : "close");
  return Text;
}

std::string chunkText(std::string_view Bytes) {
  return fmt::format("{:x}\r\n{}\r\n", Bytes.size(), Bytes);
}

} // namespace endiverail

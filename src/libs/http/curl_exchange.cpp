#include "http/curl_exchange.h"

#include "base/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace endiverail::detail {
namespace {

constexpr long ReceiveBufferBytes = 64L * 1024;
/// Hosts of a region are a few milliseconds apart; a server that is silent for
/// longer is tried again elsewhere while the caller still waits.
constexpr long ConnectTimeoutMilliseconds = 300;

std::string headerLine(const header_field &Field) {
  // The library leaves a field without a value out, unless it ends like this.
  return Field.Value.empty() ? Field.Name + ";"
                             : Field.Name + ": " + Field.Value;
}

/// Status of a line that has the form of a status line; nullopt for others.
std::optional<int> statusOf(std::string_view Line) {
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::size_t CodeAt = Version.size() + 2;
  constexpr std::size_t CodeEnd = CodeAt + 3;
  if (!Line.starts_with(Version) || Line.size() < CodeEnd ||
      Line[CodeAt - 1] != ' ' ||
      (Line.size() > CodeEnd && Line[CodeEnd] != ' '))
    return std::nullopt;
  auto Status = parseDecimal(Line.substr(CodeAt, CodeEnd - CodeAt));
  return Status ? std::optional(static_cast<int>(*Status)) : std::nullopt;
}

/// Whether a status line begins within \p Line, after its first byte.
bool holdsStatusLine(std::string_view Line) {
  constexpr std::string_view Version = "HTTP/1.";
  for (std::size_t At = Line.find(Version, 1); At != std::string_view::npos;
       At = Line.find(Version, At + 1))
    if (statusOf(Line.substr(At)))
      return true;
  return false;
}

error_kind kindOf(CURLcode Code) {
  switch (Code) {
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
    return error_kind::BackendUnreachable;
  case CURLE_OPERATION_TIMEDOUT:
    return error_kind::BackendTimeout;
  case CURLE_WEIRD_SERVER_REPLY:
  case CURLE_UNSUPPORTED_PROTOCOL:
  case CURLE_BAD_CONTENT_ENCODING:
    return error_kind::BackendMalformed;
  default:
    return error_kind::BackendCut;
  }
}

} // namespace

curl_exchange::curl_exchange(const attempt_request &Request)
    : Id(Request.Id), IsHead(Request.Method == "HEAD"),
      AcceptsUnframed(Request.AcceptsUnframed), Handle(curl_easy_init()) {
  CURL *Easy = Handle.get();
  std::string Url = "http://" + std::string(Request.Server) + "/";
  std::string Target(Request.Target);
  curl_easy_setopt(Easy, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Easy, CURLOPT_REQUEST_TARGET, Target.c_str());
  curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(Easy, CURLOPT_PROXY, "");
  curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(Easy, CURLOPT_BUFFERSIZE, ReceiveBufferBytes);
  curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMilliseconds);
  curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                   std::max<long>(1, Request.Timeout.count()));
  if (Request.Connection != connection_choice::Reuse)
    curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
  if (Request.Connection == connection_choice::Single)
    curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
  setMethod(Request);
  setHeaders(Request);
}

void curl_exchange::setMethod(const attempt_request &Request) {
  CURL *Easy = Handle.get();
  bool MayHaveBody = Request.Method == "POST" || Request.Method == "PUT" ||
                     Request.Method == "PATCH" || !Request.Body.empty();
  if (IsHead) {
    curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (MayHaveBody) {
    curl_easy_setopt(Easy, CURLOPT_POST, 1L);
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(Request.Body.size()));
    curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.data());
  }
  std::string Method(Request.Method);
  curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Method.c_str());
}

void curl_exchange::setHeaders(const attempt_request &Request) {
  auto Append = [&](const std::string &Line) {
    Headers.reset(curl_slist_append(Headers.release(), Line.c_str()));
  };
  for (const header_field &Field : Request.Headers)
    Append(headerLine(Field));
  // The library would add these by itself.
  for (std::string Name : {"Accept", "Content-Type", "Expect"})
    if (findHeader(Request.Headers, Name).empty())
      Append(Name + ":");
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.get());
}

result<bool> curl_exchange::readHeaderLine(std::string_view Line) {
  HeadBytes += Line.size();
  if (HeadBytes > MostHeadBytes)
    return fail(error_kind::BackendMalformed, "the answer's head is endless");
  if (HeadComplete)
    return false;
  while (!Line.empty() && (Line.back() == '\r' || Line.back() == '\n'))
    Line.remove_suffix(1);
  // What is left of another answer in front of this one would lend it its
  // status or its fields.
  if (holdsStatusLine(Line))
    return fail(error_kind::BackendMalformed, "two answers in one head");
  if (Head.Status == 0)
    return readStatusLine(Line);
  if (Line.empty())
    return endHead();
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return fail(error_kind::BackendMalformed, "a header field has no colon");
  if (!isToken(Line.substr(0, Colon)) || !hasNoControlCharacters(Line))
    return fail(error_kind::BackendMalformed, "malformed header field");
  Head.Headers.push_back({std::string(Line.substr(0, Colon)),
                          std::string(trimmed(Line.substr(Colon + 1)))});
  return false;
}

result<bool> curl_exchange::readStatusLine(std::string_view Line) {
  constexpr int SwitchingProtocols = 101;
  // Status codes that RFC 9110 allows, section 15.
  constexpr int FirstStatus = 100;
  constexpr int LastStatus = 599;
  auto Status = statusOf(Line);
  if (!Status || *Status < FirstStatus || *Status > LastStatus ||
      *Status == SwitchingProtocols)
    return fail(error_kind::BackendMalformed, "malformed status line");
  Head.Status = *Status;
  return false;
}

result<bool> curl_exchange::endHead() {
  if (Head.Status < 200) {
    Head = {};
    return false;
  }
  BOOST_LEAF_CHECK(checkFraming());
  Length = Head.Length;
  HeadComplete = true;
  return true;
}

result<void> curl_exchange::checkFraming() {
  auto Count = [&](std::string_view Name) {
    return std::ranges::count_if(Head.Headers, [&](const header_field &Field) {
      return equalIgnoringCase(Field.Name, Name);
    });
  };
  auto Lengths = Count("Content-Length");
  auto Encodings = Count("Transfer-Encoding");
  bool Chunked = Encodings > 0;
  if (Encodings > 1 ||
      (Chunked &&
       !equalIgnoringCase(findHeader(Head.Headers, "Transfer-Encoding"),
                          "chunked")))
    return fail(error_kind::BackendMalformed, "unknown transfer encoding");
  // Frames of chunks can be seen in the library's debug output only.
  if (Chunked)
    curl_easy_setopt(Handle.get(), CURLOPT_VERBOSE, 1L);
  if (Lengths > 1 || (Lengths > 0 && Chunked))
    return fail(error_kind::BackendMalformed, "the answer has two lengths");
  if (Lengths == 1) {
    Head.Length = parseDecimal(findHeader(Head.Headers, "Content-Length"));
    if (!Head.Length)
      return fail(error_kind::BackendMalformed, "malformed Content-Length");
  }
  if (!mayHaveBody(Head.Status))
    Head.Length = 0;
  // An answer that ends with its connection can't be told from a cut one,
  // unless the backend server resets the connection of a cut one.
  if (!Head.Length && !Chunked && !IsHead && !AcceptsUnframed)
    return fail(error_kind::BackendMalformed, "the answer has no length");
  if (IsHead && !Head.Length)
    Head.Length = 0;
  return {};
}

result<void> curl_exchange::noteBody() {
  if (!HeadComplete)
    return fail(error_kind::BackendMalformed, "a body without a head");
  SinceBody = 0;
  return {};
}

bool curl_exchange::sent() const {
  long SentBytes = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_REQUEST_SIZE, &SentBytes);
  return SentBytes > 0;
}

void curl_exchange::discardConnection(const attempt_connection &On) {
  Discarded = On;
  Reconnect = true;
  curl_easy_setopt(Handle.get(), CURLOPT_FRESH_CONNECT, 1L);
}

bool curl_exchange::isNewConnection() const {
  long NewConnections = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_NUM_CONNECTS, &NewConnections);
  return NewConnections > 0;
}

bool curl_exchange::isWhole() const {
  // The library takes a head that ends with its connection for an answer.
  return HeadComplete && (IsHead || !Length || BodyBytes == *Length);
}

attempt_end curl_exchange::end(CURLcode Code) const {
  if (Code == CURLE_OK && !Aborted && isWhole())
    return {std::nullopt, {}, false, Connection, Discarded};
  attempt_failure Failure;
  Failure.ProvenNotRun = !sent();
  Failure.Kind = Aborted.value_or(kindOf(Code));
  if (Failure.ProvenNotRun)
    Failure.Kind = error_kind::BackendUnreachable;
  return {Failure,
          Code != CURLE_OK ? curl_easy_strerror(Code)
          : HeadComplete   ? "the body has another length than the head says"
                           : "the answer's head is cut",
          Withdrawn, Connection, Discarded};
}

void initialiseCurl() {
  static const CURLcode Done = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(Done);
}

} // namespace endiverail::detail

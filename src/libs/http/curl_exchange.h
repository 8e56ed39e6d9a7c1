#pragma once

#include "connection/backend_attempt.h"
#include "process/event_loop.h"

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail::detail {

struct free_easy {
  void operator()(CURL *Handle) const { curl_easy_cleanup(Handle); }
};
struct free_multi {
  void operator()(CURLM *Handle) const { curl_multi_cleanup(Handle); }
};
struct free_list {
  void operator()(curl_slist *List) const { curl_slist_free_all(List); }
};
using easy_handle = std::unique_ptr<CURL, free_easy>;
using multi_handle = std::unique_ptr<CURLM, free_multi>;
using header_list = std::unique_ptr<curl_slist, free_list>;

/// One exchange in progress: the library's handle and what has been read of
/// the answer's head.
class curl_exchange {
public:
  explicit curl_exchange(const attempt_request &Request);

  attempt_id id() const { return Id; }
  CURL *handle() const { return Handle.get(); }

  /// Takes one line of the head. Returns true when the head of the final
  /// answer is complete, and fails with BackendMalformed.
  result<bool> readHeaderLine(std::string_view Line);

  backend_response_head takeHead() { return std::move(Head); }

  /// Notes bytes of the answer's body as they came from the connection, before
  /// the library takes the chunks' frames off. They may bring body themselves,
  /// so that only those before them tell of a frame without end.
  void noteReceived(std::size_t Bytes) {
    EndlessFrame = SinceBody > MostHeadBytes;
    SinceBody += Bytes;
  }
  /// Notes that the library hands on body. Fails with BackendMalformed when the
  /// head is not complete: the library then reads the answer in another way.
  result<void> noteBody();
  /// Notes body that has been taken.
  void noteTaken(std::size_t Bytes) { BodyBytes += Bytes; }
  /// Whether bytes come that are no body and do not end.
  bool endlessFrame() const { return EndlessFrame; }

  /// Ends the exchange from within a callback of the library.
  void abortWith(error_kind Kind) { Aborted = Kind; }
  bool aborted() const { return Aborted.has_value(); }
  /// Ends the exchange before anything of the request is sent.
  void withdraw() { Withdrawn = true; }

  /// Whether a part of the request has been sent.
  bool sent() const;
  /// Notes that the request is about to be sent on a connection.
  void noteConnected(const attempt_connection &On) { Connection = On; }
  /// Ends the exchange before anything is sent on \p On, a reused connection
  /// that holds bytes of no request.
  void discardConnection(const attempt_connection &On);
  /// Whether the exchange has ended for its connection only. It then goes to a
  /// new one when it is added to the library again.
  bool mustReconnect() { return std::exchange(Reconnect, false); }
  /// Notes the socket of a connection that is being established.
  void noteSocket(int Descriptor) { Socket = Descriptor; }
  int socket() const { return Socket; }
  /// Whether the current connection was established for this exchange.
  bool isNewConnection() const;

  /// Reads the library's verdict.
  attempt_end end(CURLcode Code) const;

private:
  static constexpr std::size_t MostHeadBytes = std::size_t{64} * 1024;

  void setMethod(const attempt_request &Request);
  void setHeaders(const attempt_request &Request);
  result<bool> readStatusLine(std::string_view Line);
  result<bool> endHead();
  result<void> checkFraming();
  bool isWhole() const;

  attempt_id Id;
  bool IsHead;
  bool AcceptsUnframed;
  easy_handle Handle;
  header_list Headers;
  backend_response_head Head;
  /// Trailers included.
  std::size_t HeadBytes = 0;
  std::size_t SinceBody = 0;
  bool EndlessFrame = false;
  /// Body that the caller is told to expect, and what has been taken of it.
  std::optional<std::uint64_t> Length;
  std::uint64_t BodyBytes = 0;
  /// Lines after the head are trailers.
  bool HeadComplete = false;
  std::optional<error_kind> Aborted;
  bool Withdrawn = false;
  int Socket = -1;
  attempt_connection Connection;
  std::optional<attempt_connection> Discarded;
  bool Reconnect = false;
};

/// Initialises the library once for the process, before any thread.
void initialiseCurl();

} // namespace endiverail::detail

#pragma once

#include "http/connection_ledger.h"
#include "http/curl_exchange.h"

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace endiverail {

/// Carries attempts by libcurl on the thread of one event loop. Connections
/// that idempotent attempts leave behind are used again; the others go on
/// connections of their own, because a server may have closed a used one. One
/// that holds bytes of no request is closed instead of used again. An
/// attempt is sent once: where the library would send a request again by
/// itself, the attempt ends.
template <typename Observer> class curl_transport {
public:
  /// \p Poller and \p To outlive the transport and belong to its thread.
  curl_transport(poller &Poller, Observer &To)
      : Poller(Poller), To(To), Multi(makeMulti()) {
    CURLM *Handle = Multi.get();
    curl_multi_setopt(Handle, CURLMOPT_SOCKETFUNCTION, &onSocket);
    curl_multi_setopt(Handle, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(Handle, CURLMOPT_TIMERFUNCTION, &onTimer);
    curl_multi_setopt(Handle, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(Handle, CURLMOPT_MAXCONNECTS, MostIdleConnections);
  }

  curl_transport(const curl_transport &) = delete;
  curl_transport &operator=(const curl_transport &) = delete;

  ~curl_transport() {
    static_assert(attempt_observer<Observer>);
    for (auto &[Id, Exchange] : Exchanges)
      curl_multi_remove_handle(Multi.get(), Exchange->Easy.handle());
  }

  void start(const attempt_request &Request) {
    auto Added = std::make_unique<exchange>(
        exchange{*this, detail::curl_exchange(Request)});
    CURL *Easy = Added->Easy.handle();
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_DEBUGFUNCTION, &onDebug);
    curl_easy_setopt(Easy, CURLOPT_DEBUGDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, &onConnected);
    curl_easy_setopt(Easy, CURLOPT_PREREQDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_OPENSOCKETFUNCTION, &onOpen);
    curl_easy_setopt(Easy, CURLOPT_OPENSOCKETDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, &onClose);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, Added.get());
    Exchanges.emplace(Request.Id, std::move(Added));
    curl_multi_add_handle(Multi.get(), Easy);
  }

  void resume(attempt_id Id) {
    auto Found = Exchanges.find(Id);
    if (Found != Exchanges.end())
      curl_easy_pause(Found->second->Easy.handle(), CURLPAUSE_CONT);
  }

  void cancel(attempt_id Id) {
    auto Found = Exchanges.find(Id);
    if (Found == Exchanges.end())
      return;
    curl_multi_remove_handle(Multi.get(), Found->second->Easy.handle());
    Exchanges.erase(Found);
  }

  /// Whether the descriptor was one of the transport's.
  bool onReady(const ready_descriptor &Ready) {
    if (!Sockets.contains(Ready.Descriptor))
      return false;
    int Mask = (Ready.Readable ? CURL_CSELECT_IN : 0) |
               (Ready.Writable ? CURL_CSELECT_OUT : 0);
    act(Ready.Descriptor, Mask);
    return true;
  }

  void onWake(steady_time Now) {
    if (!Wake || Now < *Wake)
      return;
    Wake.reset();
    act(CURL_SOCKET_TIMEOUT, 0);
  }

  std::optional<steady_time> nextWake() const { return Wake; }

private:
  static constexpr long MostIdleConnections = 256;

  struct exchange {
    curl_transport &Owner;
    detail::curl_exchange Easy;
  };

  static detail::multi_handle makeMulti() {
    detail::initialiseCurl();
    return detail::multi_handle(curl_multi_init());
  }

  void act(curl_socket_t Socket, int Mask) {
    int Running = 0;
    curl_multi_socket_action(Multi.get(), Socket, Mask, &Running);
    reportEnds();
    giveUpEndless();
  }

  /// Ends exchanges whose connections bring frames of chunks without end.
  void giveUpEndless() {
    for (attempt_id Id : std::exchange(Endless, {})) {
      auto Found = Exchanges.find(Id);
      if (Found == Exchanges.end())
        continue;
      Found->second->Easy.abortWith(error_kind::BackendMalformed);
      attempt_end End = Found->second->Easy.end(CURLE_RECV_ERROR);
      cancel(Id);
      To.onEnd(Id, End);
    }
  }

  void reportEnds() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi.get(), &Left)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      CURLcode Code = Message->data.result;
      exchange *Done = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Done);
      if (Done->Easy.mustReconnect()) {
        curl_multi_remove_handle(Multi.get(), Done->Easy.handle());
        curl_multi_add_handle(Multi.get(), Done->Easy.handle());
        continue;
      }
      attempt_id Id = Done->Easy.id();
      attempt_end End = Done->Easy.end(Code);
      cancel(Id);
      To.onEnd(Id, End);
    }
  }

  static int onSocket(CURL *, curl_socket_t Socket, int What, void *Self,
                      void *) {
    auto &Transport = *static_cast<curl_transport *>(Self);
    if (What == CURL_POLL_REMOVE) {
      Transport.Sockets.erase(Socket);
      Transport.Poller.unwatch(Socket);
      return 0;
    }
    Transport.Sockets.insert(Socket);
    Transport.Poller.watch(Socket, (What & CURL_POLL_IN) != 0,
                           (What & CURL_POLL_OUT) != 0);
    return 0;
  }

  static curl_socket_t onOpen(void *Self, curlsocktype,
                              curl_sockaddr *Address) {
    int Socket =
        ::socket(Address->family, Address->socktype, Address->protocol);
    static_cast<exchange *>(Self)->Easy.noteSocket(Socket);
    return Socket;
  }

  static int onClose(void *Self, curl_socket_t Socket) {
    static_cast<curl_transport *>(Self)->Connections.recordClosed(Socket);
    return ::close(Socket);
  }

  static int onTimer(CURLM *, long Milliseconds, void *Self) {
    auto &Transport = *static_cast<curl_transport *>(Self);
    Transport.Wake =
        Milliseconds < 0
            ? std::nullopt
            : std::optional(steadyNow() + milliseconds(Milliseconds));
    return 0;
  }

  attempt_connection connectionOf(exchange &Exchange,
                                  const detail::connection_ends &Ends) {
    steady_time Now = steadyNow();
    if (Exchange.Easy.isNewConnection())
      Connections.recordEstablished(Ends, Exchange.Easy.socket(), Now);
    return Connections.recordAttempt(Ends, Now);
  }

  static int onConnected(void *Self, char *Server, char *, int ServerPort,
                         int LocalPort) {
    auto &Exchange = *static_cast<exchange *>(Self);
    // The library is about to send the request again, because the server has
    // closed a reused connection without a response. The request may have run.
    if (Exchange.Easy.sent()) {
      Exchange.Easy.abortWith(error_kind::BackendCut);
      return CURL_PREREQFUNC_ABORT;
    }
    attempt_connection On =
        Exchange.Owner.connectionOf(Exchange, {Server, ServerPort, LocalPort});
    // The library closes the connection of an exchange that is aborted here.
    if (On.reused() && On.UnaskedBytes > 0) {
      Exchange.Easy.discardConnection(On);
      return CURL_PREREQFUNC_ABORT;
    }
    if (Exchange.Owner.To.mayStart(Exchange.Easy.id())) {
      Exchange.Easy.noteConnected(On);
      return CURL_PREREQFUNC_OK;
    }
    Exchange.Easy.withdraw();
    return CURL_PREREQFUNC_ABORT;
  }

  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *Self) {
    auto &Exchange = *static_cast<exchange *>(Self);
    return handleFailure(
        [&]() -> result<std::size_t> {
          BOOST_LEAF_AUTO(Complete,
                          Exchange.Easy.readHeaderLine({Data, Size * Count}));
          if (!Complete)
            return Size * Count;
          auto Refused = Exchange.Owner.To.onHead(Exchange.Easy.id(),
                                                  Exchange.Easy.takeHead());
          if (Refused)
            return fail(*Refused, "the answer is refused");
          return Size * Count;
        },
        [&](const failure &Failure) {
          Exchange.Easy.abortWith(Failure.Kind);
          return std::size_t{0};
        });
  }

  static std::size_t onBody(char *Data, std::size_t Size, std::size_t Count,
                            void *Self) {
    auto &Exchange = *static_cast<exchange *>(Self);
    return handleFailure(
        [&]() -> result<std::size_t> {
          BOOST_LEAF_CHECK(Exchange.Easy.noteBody());
          bool Taken = Exchange.Owner.To.onBodyData(Exchange.Easy.id(),
                                                    {Data, Size * Count});
          if (!Taken)
            return CURL_WRITEFUNC_PAUSE;
          Exchange.Easy.noteTaken(Size * Count);
          return Size * Count;
        },
        [&](const failure &Failure) {
          Exchange.Easy.abortWith(Failure.Kind);
          return std::size_t{0};
        });
  }

  static int onDebug(CURL *, curl_infotype Kind, char *, std::size_t Size,
                     void *Self) {
    auto &Exchange = *static_cast<exchange *>(Self);
    if (Kind != CURLINFO_DATA_IN)
      return 0;
    Exchange.Easy.noteReceived(Size);
    if (Exchange.Easy.endlessFrame())
      Exchange.Owner.Endless.insert(Exchange.Easy.id());
    return 0;
  }

  poller &Poller;
  Observer &To;
  /// Outlives the library's handle, which closes the connections with itself.
  detail::connection_ledger Connections;
  detail::multi_handle Multi;
  std::set<int> Sockets;
  std::optional<steady_time> Wake;
  std::unordered_map<attempt_id, std::unique_ptr<exchange>> Exchanges;
  /// Exchanges that are to be given up once the library has returned.
  std::set<attempt_id> Endless;
};

} // namespace endiverail

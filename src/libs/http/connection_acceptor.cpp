#include "http/connection_acceptor.h"

#include "log/event_line.h"

#include <netdb.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string_view>

namespace endiverail::detail {
namespace {

constexpr int MaxPendingConnections = 128;
constexpr milliseconds ResumeAfter{100};

struct free_addresses {
  void operator()(addrinfo *Found) const { freeaddrinfo(Found); }
};
using address_list = std::unique_ptr<addrinfo, free_addresses>;

address_list resolve(const std::string &Address, std::uint16_t Port) {
  addrinfo Hints{};
  Hints.ai_socktype = SOCK_STREAM;
  Hints.ai_flags = AI_PASSIVE | AI_NUMERICSERV;
  addrinfo *Found = nullptr;
  if (getaddrinfo(Address.c_str(), std::to_string(Port).c_str(), &Hints,
                  &Found) != 0)
    return nullptr;
  return address_list(Found);
}

bool listen(int Descriptor, const addrinfo &Address) {
  int On = 1;
  // Accepted sockets inherit TCP_NODELAY.
  return setsockopt(Descriptor, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On)) ==
             0 &&
         setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On)) ==
             0 &&
         bind(Descriptor, Address.ai_addr, Address.ai_addrlen) == 0 &&
         ::listen(Descriptor, MaxPendingConnections) == 0;
}

/// Whether only the connection that was to be accepted has failed.
bool concernsOneConnection(int Error) {
  return Error == EINTR || Error == ECONNABORTED || Error == EPROTO;
}

} // namespace

owned_socket::~owned_socket() {
  if (Descriptor >= 0)
    close(Descriptor);
}

result<std::unique_ptr<connection_acceptor>>
connection_acceptor::create(const std::string &Address, std::uint16_t Port,
                            receiver Receive) {
  auto CantListen = [&](std::string_view Reason) {
    return fail(error_kind::BadSettings, "can't listen on " + Address + ":" +
                                             std::to_string(Port) + ": " +
                                             std::string(Reason));
  };
  address_list Resolved = resolve(Address, Port);
  if (!Resolved)
    return CantListen("no such address");
  owned_socket Listening(socket(Resolved->ai_family,
                                SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                                Resolved->ai_protocol));
  if (!listen(Listening.descriptor(), *Resolved))
    return CantListen(std::strerror(errno));
  BOOST_LEAF_AUTO(Poller, poller::create());
  BOOST_LEAF_AUTO(Stop, event_descriptor::create());
  std::unique_ptr<connection_acceptor> Created(
      new connection_acceptor(std::move(Listening), std::move(Poller),
                              std::move(Stop), std::move(Receive)));
  Created->Thread = std::thread([Acceptor = Created.get()] {
    runEventLoop(Acceptor->Poller, *Acceptor);
  });
  return Created;
}

connection_acceptor::connection_acceptor(owned_socket Listening, poller Poller,
                                         event_descriptor Stop,
                                         receiver Receive)
    : Listening(std::move(Listening)), Poller(std::move(Poller)),
      Stop(std::move(Stop)), Receive(std::move(Receive)) {
  this->Poller.watch(this->Listening.descriptor(), true, false);
  this->Poller.watch(this->Stop.descriptor(), true, false);
}

connection_acceptor::~connection_acceptor() {
  Stop.notify();
  if (Thread.joinable())
    Thread.join();
}

std::uint16_t connection_acceptor::port() const {
  sockaddr_storage Bound{};
  socklen_t Size = sizeof(Bound);
  std::array<char, NI_MAXSERV> Service{};
  auto *Address = reinterpret_cast<sockaddr *>(&Bound);
  if (getsockname(Listening.descriptor(), Address, &Size) != 0 ||
      getnameinfo(Address, Size, nullptr, 0, Service.data(), Service.size(),
                  NI_NUMERICSERV) != 0)
    return 0;
  return static_cast<std::uint16_t>(std::stoul(Service.data()));
}

void connection_acceptor::onReady(const ready_descriptor &Ready,
                                  steady_time Now) {
  if (Ready.Descriptor == Stop.descriptor())
    Stopped = true;
  else if (!ResumeAt)
    acceptPending(Now);
}

void connection_acceptor::onWake(steady_time Now) {
  if (!ResumeAt || Now < *ResumeAt)
    return;
  ResumeAt.reset();
  Poller.watch(Listening.descriptor(), true, false);
}

void connection_acceptor::acceptPending(steady_time Now) {
  while (true) {
    owned_socket Accepted(accept4(Listening.descriptor(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Accepted.descriptor() >= 0) {
      Receive(std::move(Accepted));
    } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
      return;
    } else if (!concernsOneConnection(errno)) {
      // The socket stays readable, so that waiting for it would not wait.
      event_line("accept_failed", event_level::Warning)
          .with("error", std::strerror(errno));
      Poller.unwatch(Listening.descriptor());
      ResumeAt = Now + ResumeAfter;
      return;
    }
  }
}

} // namespace endiverail::detail

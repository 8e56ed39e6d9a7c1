#pragma once

#include "http/connection_acceptor.h"
#include "http/connection_worker.h"
#include "version/request_limits.h"

#include <pistache/reactor.h>
#include <pistache/tcp.h>
#include <pistache/transport.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace endiverail {
namespace detail {

/// Tells the worker of its thread which connections come and go.
template <caller_request_sink Sink>
class front_handler final : public Pistache::Tcp::Handler {
public:
  explicit front_handler(connection_worker<Sink> *Worker) : Worker(Worker) {}

  std::shared_ptr<Pistache::Tcp::Handler> clone() const override {
    return std::make_shared<front_handler>(Worker);
  }
  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    Worker->onConnected(Peer);
  }
  /// The worker reads by itself; these are bytes that came after the end.
  void onInput(const char *, std::size_t,
               const std::shared_ptr<Pistache::Tcp::Peer> &) override {}
  void
  onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) override {
    Worker->onDisconnected(Peer->getID());
  }

private:
  connection_worker<Sink> *Worker;
};

/// Pistache's transport with two descriptors more: the worker's mailbox,
/// through which its connections come, too, and its timer, so that all of a
/// connection's work runs on its own thread.
template <caller_request_sink Sink>
class front_transport final : public Pistache::Tcp::Transport {
public:
  using worker_list = std::vector<std::unique_ptr<connection_worker<Sink>>>;

  front_transport(worker_list &Workers, std::size_t &NextWorker,
                  connection_worker<Sink> *Worker)
      : Transport(std::make_shared<front_handler<Sink>>(Worker)),
        Workers(Workers), NextWorker(NextWorker), Worker(Worker) {}

  /// Pistache clones the transport once for each of its threads.
  std::shared_ptr<Pistache::Aio::Handler> clone() const override {
    auto &Next = Workers[NextWorker++ % Workers.size()];
    return std::make_shared<front_transport>(Workers, NextWorker, Next.get());
  }

  void registerPoller(Pistache::Polling::Epoll &Poller) override {
    Transport::registerPoller(Poller);
    addDescriptor(Poller, Worker->inboxDescriptor());
    addDescriptor(Poller, Worker->timerDescriptor());
    Worker->setAdopter([this](owned_socket Socket) {
      handleNewPeer(
          Pistache::Tcp::Peer::Create(Socket.release(), Pistache::Address()));
    });
    Worker->setWatch(
        [this](int Descriptor, bool Writable) { watch(Descriptor, Writable); });
  }

  void onReady(const Pistache::Aio::FdSet &Ready) override {
    std::vector<Pistache::Polling::Event> Others;
    for (const auto &Entry : Ready) {
      if (Entry.getTag() == tagOf(Worker->inboxDescriptor()))
        Worker->onInbox();
      else if (Entry.getTag() == tagOf(Worker->timerDescriptor()))
        Worker->onTimer(steadyNow());
      else
        onConnectionReady(Entry, Others);
    }
    if (!Others.empty())
      Transport::onReady(Pistache::Aio::FdSet(std::move(Others)));
  }

private:
  /// Pistache reads without a limit and knows nothing of what waits to be
  /// written, so it only gets to see the end of a connection.
  void onConnectionReady(const Pistache::Aio::FdSet::Entry &Entry,
                         std::vector<Pistache::Polling::Event> &Others) {
    int Descriptor = static_cast<int>(Entry.getTag().value());
    if (!Worker->owns(Descriptor)) {
      Others.push_back(withoutWritable(Entry));
      return;
    }
    if (Entry.isWritable())
      Worker->onWritable(Descriptor);
    if (Entry.isHangup())
      Worker->onHangup(Descriptor);
    else if (!Entry.isReadable() || !Worker->onReadable(Descriptor))
      return;
    Others.push_back(withoutWritable(Entry));
  }

  /// The descriptor is reported again if it has bytes to read already.
  void watch(int Descriptor, bool Writable) {
    using Pistache::Polling::NotifyOn;
    reactor()->modifyFd(key(), Descriptor,
                        Writable ? NotifyOn::Read | NotifyOn::Write
                                 : NotifyOn::Read,
                        Pistache::Polling::Mode::Edge);
  }

  static Pistache::Polling::Tag tagOf(int Descriptor) {
    return Pistache::Polling::Tag(static_cast<std::uint64_t>(Descriptor));
  }

  static void addDescriptor(Pistache::Polling::Epoll &Poller, int Descriptor) {
    Poller.addFd(Descriptor,
                 Pistache::Flags<Pistache::Polling::NotifyOn>(
                     Pistache::Polling::NotifyOn::Read),
                 tagOf(Descriptor));
  }

  static Pistache::Polling::Event
  withoutWritable(const Pistache::Aio::FdSet::Entry &Entry) {
    using Pistache::Polling::NotifyOn;
    Pistache::Polling::Event Event(Entry.getTag());
    if (Entry.isReadable())
      Event.flags.setFlag(NotifyOn::Read);
    if (Entry.isHangup())
      Event.flags.setFlag(NotifyOn::Hangup);
    return Event;
  }

  worker_list &Workers;
  std::size_t &NextWorker;
  connection_worker<Sink> *Worker;
};

} // namespace detail

/// Accepts callers' connections, which Pistache reads, and keeps each answer on
/// the connection and the request that it belongs to. Pistache's exceptions end
/// here.
template <caller_request_sink Sink> class front_end {
public:
  /// \p To and \p Memory outlive the front end.
  static result<std::unique_ptr<front_end>>
  create(const front_end_settings &Settings, Sink &To, memory_budget &Memory) {
    std::unique_ptr<front_end> Created(new front_end(Settings));
    for (std::size_t Index = 0; Index < Settings.Workers; ++Index) {
      BOOST_LEAF_AUTO(Event, event_descriptor::create());
      Created->Workers.push_back(
          std::make_unique<detail::connection_worker<Sink>>(
              Index, Settings, To, Memory, std::move(Event)));
    }
    return Created;
  }

  /// Begins to listen. Fails with BadSettings when the address can't be used.
  result<void> start() {
    try {
      BOOST_LEAF_ASSIGN(
          Acceptor, detail::connection_acceptor::create(
                        Settings.Address, Settings.Port,
                        [this](detail::owned_socket Socket) {
                          auto &Worker = Workers[Accepted++ % Workers.size()];
                          Worker->post(std::move(Socket));
                        }));
      Port = Acceptor->port();
      startWorkers();
    } catch (const std::exception &Error) {
      return fail(error_kind::Internal,
                  std::string("can't start the connection threads: ") +
                      Error.what());
    }
    return {};
  }

  front_end(const front_end &) = delete;
  front_end &operator=(const front_end &) = delete;
  ~front_end() { shutdown(); }

  /// Hands a part of an answer to the connection's thread. Safe on any thread.
  void post(response_message Message) {
    std::size_t Worker = responseHandleOf(Message).Worker;
    std::visit([&](auto &Part) { Workers[Worker]->post(std::move(Part)); },
               Message);
  }

  /// Takes new limits for what callers send from now on. The size limits hold
  /// for connections that come, the timeouts for all.
  void setLimits(const request_limits &Limits) {
    framing_limits Framing = Settings.Limits;
    Framing.HeadBytes = Limits.HeadBytes;
    // A body must fit in the memory that the process has for bodies.
    Framing.BodyBytes = std::min(Limits.BodyBytes, Settings.Limits.BodyBytes);
    for (auto &Worker : Workers)
      Worker->post(detail::change_limits{Framing, Limits.HeadTimeout,
                                         Limits.IdleTimeout});
  }

  /// Tells callers with each answer to close their connections.
  void announceClose() {
    for (auto &Worker : Workers)
      Worker->post(detail::announce_close{});
  }

  /// Closes each connection once it is owed nothing, and waits for that.
  /// False when some are left after \p Timeout.
  bool closeWhenIdle(milliseconds Timeout) {
    std::vector<std::future<void>> Closing;
    for (auto &Worker : Workers) {
      detail::close_when_idle Close;
      Closing.push_back(Close.Closed.get_future());
      Worker->post(std::move(Close));
    }
    steady_time Until = steadyNow() + Timeout;
    return std::ranges::all_of(Closing, [&](std::future<void> &Each) {
      return Each.wait_until(Until) == std::future_status::ready;
    });
  }

  /// Connections that are open now.
  std::size_t connections() const {
    std::size_t Sum = 0;
    for (const auto &Worker : Workers)
      Sum += Worker->connections();
    return Sum;
  }

  /// The port that callers connect to.
  std::uint16_t port() const { return Port; }

  /// Stops listening and closes all connections. Callers should have their
  /// answers by then: Pistache waits for none.
  void shutdown() {
    Acceptor.reset();
    if (Reactor)
      std::exchange(Reactor, nullptr)->shutdown();
  }

private:
  explicit front_end(const front_end_settings &Settings) : Settings(Settings) {}

  void startWorkers() {
    auto Started = Pistache::Aio::Reactor::create();
    Started->init(Pistache::Aio::AsyncContext(Workers.size(), "connection"));
    Started->addHandler(std::make_shared<detail::front_transport<Sink>>(
        Workers, NextWorker, Workers.front().get()));
    Started->run();
    Reactor = std::move(Started);
  }

  front_end_settings Settings;
  typename detail::front_transport<Sink>::worker_list Workers;
  std::size_t NextWorker = 0;
  std::uint16_t Port = 0;
  /// Runs the connection threads. Ends before the workers that they use.
  std::shared_ptr<Pistache::Aio::Reactor> Reactor;
  /// Number of connections accepted; used on the acceptor's thread.
  std::size_t Accepted = 0;
  std::unique_ptr<detail::connection_acceptor> Acceptor;
};

} // namespace endiverail

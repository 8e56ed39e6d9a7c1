#pragma once

#include "connection/caller_connection.h"
#include "connection/memory_claim.h"
#include "connection/response_message.h"
#include "connection/response_progress.h"
#include "http/answer_text.h"
#include "http/connection_acceptor.h"
#include "http/connection_io.h"
#include "log/event_line.h"
#include "process/mailbox.h"
#include "process/memory_budget.h"
#include "process/thread_lag.h"

#include <algorithm>
#include <atomic>
#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace endiverail {

struct front_end_settings {
  std::string Address;
  std::uint16_t Port = 0;
  std::size_t Workers = 1;
  framing_limits Limits;
  /// From a request's first byte to the end of its head.
  milliseconds HeadTimeout{10'000};
  /// From a request's first byte to its last.
  milliseconds ReceiveTimeout{10'000};
  /// Between requests of a connection.
  milliseconds IdleTimeout{60'000};
  /// Whether answers that callers have not read count toward the memory for
  /// callers, and give way when it is used up.
  bool LimitsUnreadAnswers = false;
};

/// Whichever part of the process answers a request; the sink gives it out and
/// gets it back with all that concerns the answer.
using request_owner = std::size_t;

/// What takes the requests of callers. Called on the connection threads.
template <typename T>
concept caller_request_sink = requires(T Sink,
                                       const response_handle &ResponseHandle,
                                       received_request Request,
                                       request_owner Owner) {
  {
    Sink.onRequest(ResponseHandle, std::move(Request))
    } -> std::same_as<request_owner>;
  /// A piece of that many bytes has left.
  {Sink.onWritten(Owner, ResponseHandle, std::size_t{})};
  /// The caller has gone before the end of the answer.
  {Sink.onCallerGone(Owner, ResponseHandle)};
};

namespace detail {

/// From now on answers tell callers to close their connections.
struct announce_close {};
/// New limits for connections that come, new timeouts for all.
struct change_limits {
  framing_limits Framing;
  milliseconds HeadTimeout{0};
  milliseconds IdleTimeout{0};
};
/// Each connection is closed as soon as it is owed nothing; the promise is
/// kept when none is left.
struct close_when_idle {
  std::promise<void> Closed;
};
using worker_message = std::variant<owned_socket, response_begin, response_data,
                                    response_end, response_abort, change_limits,
                                    announce_close, close_when_idle>;

/// All callers' connections of one connection thread. Only that thread calls
/// it, but for post().
template <caller_request_sink Sink> class connection_worker {
public:
  connection_worker(std::size_t Index, const front_end_settings &Settings,
                    Sink &To, memory_budget &Memory, event_descriptor Event)
      : Index(Index), Settings(Settings), To(To), Memory(Memory),
        Inbox(std::move(Event)) {}

  void post(worker_message &&Message) { Inbox.post(std::move(Message)); }
  int inboxDescriptor() const { return Inbox.descriptor(); }
  int timerDescriptor() const { return Timer.descriptor(); }
  std::size_t connections() const {
    return Count.load(std::memory_order_relaxed);
  }

  /// Makes a connection of a socket, and tells the worker of it.
  using connection_adopter = std::function<void(owned_socket)>;
  void setAdopter(connection_adopter Adopter) { Adopt = std::move(Adopter); }

  /// Asks to be told when a connection's descriptor has bytes, at once if it
  /// has some already, and if \p Writable when it takes bytes again.
  using descriptor_watch = std::function<void(int Descriptor, bool Writable)>;
  void setWatch(descriptor_watch Descriptors) {
    Watch = std::move(Descriptors);
  }

  void onConnected(const std::shared_ptr<Pistache::Tcp::Peer> &Peer) {
    auto Added = Connections.try_emplace(Peer->getID(), Peer, Settings.Limits);
    ByDescriptor[Peer->fd()] = Peer->getID();
    Count.store(Connections.size(), std::memory_order_relaxed);
    expectBy(Added.first->second, headTimeout());
  }

  /// Whether the worker reads from that descriptor.
  bool owns(int Descriptor) const { return ByDescriptor.contains(Descriptor); }

  /// Reads for a bounded time, so that no caller holds up the others. Returns
  /// whether the connection has ended.
  bool onReadable(int Descriptor) {
    entry &Entry = Connections.at(ByDescriptor.at(Descriptor));
    for (std::size_t TurnBytes = 0; TurnBytes < MaxTurnBytes;) {
      std::size_t Room = readableBytes(Entry);
      Entry.ReadPaused = Room == 0;
      if (Entry.ReadPaused)
        return false;
      received_piece Piece = receiveSome(
          Descriptor, std::span(ReadBuffer).first(std::min(Room, PieceBytes)));
      if (Piece.State != receive_state::Data)
        return Piece.State == receive_state::Ended;
      TurnBytes += Piece.Bytes.size();
      onInput(Entry, Piece.Bytes);
    }
    Watch(Descriptor, Entry.AwaitsWritable);
    return false;
  }

  /// Both directions are closed: what is still unread asks for nothing.
  void onHangup(int Descriptor) {
    Connections.at(ByDescriptor.at(Descriptor)).Closing = true;
  }

  void onDisconnected(std::uint64_t Id) {
    auto Found = Connections.find(Id);
    if (Found == Connections.end())
      return;
    entry &Entry = Found->second;
    releaseMemory(Entry);
    response_handle ResponseHandle = ticket(Entry);
    request_owner Owner = Entry.Owner;
    bool Owed = Entry.State.inProgress();
    ByDescriptor.erase(Entry.Peer->fd());
    Connections.erase(Found);
    Count.store(Connections.size(), std::memory_order_relaxed);
    if (Owed)
      To.onCallerGone(Owner, ResponseHandle);
    tellIfClosed();
  }

  void onWritable(int Descriptor) {
    auto Id = ByDescriptor.find(Descriptor);
    if (Id == ByDescriptor.end())
      return;
    entry &Entry = Connections.at(Id->second);
    if (Entry.Broken)
      return;
    sendUnsent(Entry);
    claimHeld(Entry);
  }

  void onInbox() {
    auto Batch = Inbox.takeAll();
    // A message that is posted while the mailbox is read wakes the thread
    // again.
    if (Batch.Messages.empty())
      return;
    steady_time Now = steadyNow();
    Lag.recordMessages(Batch.FirstPosted, Now);
    for (worker_message &Message : Batch.Messages)
      std::visit([&](auto &Part) { take(Part); }, Message);
    Lag.report(Now);
  }

  void onTimer(steady_time Now) {
    if (Timer.armedFor())
      Lag.recordTimer(*Timer.armedFor(), Now);
    Timer.clear();
    std::optional<steady_time> Next;
    for (auto &[Id, Entry] : Connections) {
      if (Entry.State.inProgress() && !Entry.Closing)
        continue;
      if (Now >= Entry.ExpectedBy)
        timeOut(Entry);
      else if (!Next || Entry.ExpectedBy < *Next)
        Next = Entry.ExpectedBy;
    }
    if (Next)
      armBy(*Next);
  }

private:
  static constexpr milliseconds LingerTime{2'000};
  static constexpr std::size_t PieceBytes = std::size_t{16} * 1024;
  /// Read from a connection before others have their turn.
  static constexpr std::size_t MaxTurnBytes = 4 * PieceBytes;
  /// Read from a connection while its request is in progress.
  static constexpr std::size_t MaxReadAheadBytes = 4 * PieceBytes;
  /// Requests up to this size are taken even if there is no room: their number
  /// is bounded by that of the connections.
  static constexpr std::size_t MaxUnrefusedBytes = PieceBytes;
  static constexpr milliseconds EvictionReportInterval{1'000};

  struct unsent_text {
    std::string Text;
    /// Bytes of the answer's body that its sink is told of once it has left.
    std::size_t PieceBytes = 0;
    std::size_t Sent = 0;
  };

  struct entry {
    entry(std::shared_ptr<Pistache::Tcp::Peer> Peer, framing_limits Limits)
        : Peer(std::move(Peer)), State(Limits) {}

    std::shared_ptr<Pistache::Tcp::Peer> Peer;
    caller_connection State;
    request_owner Owner = 0;
    std::size_t ReservedBytes = 0;
    /// Of the request in progress.
    std::size_t RequestBytes = 0;
    /// Of the answer, what the socket has not taken yet.
    std::size_t UnsentBytes = 0;
    steady_time LastProgress = steadyNow();
    steady_time ExpectedBy;
    /// When the whole request has to be there.
    steady_time RequestBy;
    bool ContinueSent = false;
    bool KeepAlive = true;
    bool SupportsChunked = true;
    bool Closing = false;
    body_framing Framing = body_framing::None;
    response_progress Progress;
    /// What the socket has not taken yet, in order.
    std::deque<unsent_text> Unsent;
    /// Of the current response, its head included.
    std::size_t BytesSent = 0;
    bool AwaitsWritable = false;
    /// The socket holds bytes that are not read until the request in progress
    /// has ended.
    bool ReadPaused = false;
    bool AnswerEnded = false;
    /// Closed without regard to what is unsent.
    bool Broken = false;
  };

  void onInput(entry &Entry, std::string_view Bytes) {
    if (Entry.Closing)
      return;
    bool FirstBytes = !Entry.State.inProgress() && !Entry.State.hasBytes();
    // Only the first bytes of a request tell when it arrived.
    request_arrival Arrived{steadyNow()};
    if (!Entry.State.inProgress())
      Entry.LastProgress = Arrived.At;
    if (!Entry.State.hasBytes())
      Arrived = arrivalOf(Entry.Peer->fd(), Arrived.At);
    handleFailure(
        [&]() -> result<void> { return Entry.State.receive(Bytes, Arrived); },
        [&](const failure &Failure) { refuse(Entry, Failure); });
    if (FirstBytes)
      expectHead(Entry);
    takeRequests(Entry);
    claimHeld(Entry);
  }

  /// How much a connection may be read now.
  static std::size_t readableBytes(const entry &Entry) {
    if (Entry.Closing || !Entry.State.inProgress())
      return PieceBytes;
    return MaxReadAheadBytes -
           std::min(MaxReadAheadBytes, Entry.State.unreadBytes());
  }

  void resumeReading(entry &Entry) {
    if (std::exchange(Entry.ReadPaused, false))
      Watch(Entry.Peer->fd(), Entry.AwaitsWritable);
  }

  response_handle ticket(const entry &Entry) const {
    return {Index, Entry.Peer->getID(), Entry.State.lastSequence()};
  }

  void expectBy(entry &Entry, milliseconds Wait) {
    Entry.ExpectedBy = steadyNow() + Wait;
    armBy(Entry.ExpectedBy);
  }

  void armBy(steady_time At) {
    if (!Timer.armedFor() || At < *Timer.armedFor())
      Timer.arm(At);
  }

  milliseconds headTimeout() const {
    return std::min(Settings.HeadTimeout, Settings.ReceiveTimeout);
  }

  void expectHead(entry &Entry) {
    Entry.RequestBy = steadyNow() + Settings.ReceiveTimeout;
    expectBy(Entry, headTimeout());
  }

  void timeOut(entry &Entry) {
    if (Entry.Closing)
      breakConnection(*Entry.Peer);
    else if (Entry.State.hasBytes())
      refuse(Entry,
             {error_kind::RequestTimeout, "the request came too slowly"});
    else
      close(Entry);
  }

  void close(entry &Entry) {
    Entry.Closing = true;
    Entry.Broken = true;
    Entry.State.discardBytes();
    Entry.Unsent.clear();
    Entry.UnsentBytes = 0;
    releaseMemory(Entry);
    breakConnection(*Entry.Peer);
  }

  /// Closes after an answer: the caller may still be sending, and a reset in
  /// reply to that would take the answer away from it.
  void closeGently(entry &Entry) {
    Entry.Closing = true;
    Entry.State.discardBytes();
    endSending(*Entry.Peer);
    expectBy(Entry, LingerTime);
    resumeReading(Entry);
  }

  /// Takes whole requests as long as none is in progress.
  void takeRequests(entry &Entry) {
    if (Entry.Closing)
      return;
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(Awaited, Entry.State.pendingFrame());
          if (!Awaited)
            return {};
          Entry.ExpectedBy = Entry.RequestBy;
          BOOST_LEAF_CHECK(makeRoom(Entry, Awaited->BodyBytes));
          bool ExpectsContinue = Awaited->ExpectsContinue;
          BOOST_LEAF_AUTO(Request, Entry.State.takeRequest());
          if (Request)
            start(Entry, std::move(*Request));
          else if (ExpectsContinue && !std::exchange(Entry.ContinueSent, true))
            send(Entry, std::string(ContinueText), 0);
          return {};
        },
        [&](const failure &Failure) { refuse(Entry, Failure); });
  }

  /// Refuses a body that finds no room before it is read. Only what has come
  /// is reserved, so an announced length keeps no room from others.
  result<void> makeRoom(entry &Entry, std::size_t BodyBytes) {
    std::size_t Wanted = std::max(heldBytes(Entry), BodyBytes);
    while (Wanted > MaxUnrefusedBytes &&
           Wanted > Entry.ReservedBytes + Memory.available())
      if (!evictFor(Entry, memory_use::IncompleteRequest, Wanted))
        return fail(error_kind::MemoryLimit, "no room for the body now");
    return {};
  }

  /// Brings the account to what a connection holds.
  void claimHeld(entry &Entry) {
    if (Entry.Broken)
      return;
    std::size_t Held = heldBytes(Entry);
    if (Held >= Entry.ReservedBytes)
      Memory.reserve(Held - Entry.ReservedBytes);
    else
      Memory.release(Entry.ReservedBytes - Held);
    Entry.ReservedBytes = Held;
  }

  std::size_t heldBytes(const entry &Entry) const {
    return Entry.State.heldBytes() + Entry.RequestBytes +
           (Settings.LimitsUnreadAnswers ? Entry.UnsentBytes : 0);
  }

  static memory_use useOf(const entry &Entry) {
    if (Entry.UnsentBytes != 0)
      return memory_use::UnreadAnswer;
    return Entry.State.inProgress() ? memory_use::RequestInProgress
                                    : memory_use::IncompleteRequest;
  }

  /// Whether a connection gave way to another one.
  bool evictFor(const entry &Wanting, memory_use Use, std::size_t Bytes) {
    std::vector<memory_claim> Claims;
    for (const auto &[Id, Entry] : Connections)
      if (!Entry.Closing)
        Claims.push_back(
            {Id, useOf(Entry), Entry.ReservedBytes, Entry.LastProgress});
    auto Chosen = chooseEviction(
        Claims, {Wanting.Peer->getID(), Use, Bytes, {}}, steadyNow());
    if (!Chosen)
      return false;
    entry &Evicted = Connections.at(*Chosen);
    reportEviction(Evicted);
    if (Evicted.State.inProgress())
      close(Evicted);
    else
      refuse(Evicted, {error_kind::MemoryLimit, "others need the room"});
    return true;
  }

  /// A crowd would fill the log.
  void reportEviction(const entry &Evicted) {
    ++UnreportedEvictions;
    steady_time Now = steadyNow();
    if (Now < NextEvictionReport)
      return;
    NextEvictionReport = Now + EvictionReportInterval;
    event_line("caller_evicted", event_level::Warning)
        .with("caller_connection", Evicted.Peer->getID())
        .with("bytes", Evicted.ReservedBytes)
        .with("answer_unread", Evicted.UnsentBytes != 0)
        .with("since_last_line", std::exchange(UnreportedEvictions, 0));
  }

  void releaseMemory(entry &Entry) {
    Memory.release(std::exchange(Entry.ReservedBytes, 0));
  }

  void start(entry &Entry, received_request Request) {
    Entry.KeepAlive = Request.Frame.KeepAlive && !KeepNone;
    Entry.SupportsChunked = Request.Frame.SupportsChunked;
    Entry.Progress = response_progress(Request.Frame.Method == "HEAD");
    Entry.ContinueSent = false;
    Entry.BytesSent = 0;
    Entry.Framing = body_framing::None;
    Entry.RequestBytes = Request.Frame.HeadBytes + Request.Body.size();
    claimHeld(Entry);
    Entry.Owner = To.onRequest(ticket(Entry), std::move(Request));
  }

  /// Answers what can't be read as a request; nothing more is read after it.
  void refuse(entry &Entry, const failure &Failure) {
    if (Entry.State.inProgress())
      return close(Entry);
    std::string Body(errorAnswer(Failure.Kind).Name);
    Body.append(": ").append(Failure.Detail).push_back('\n');
    response_head Head = errorResponseHead(Failure.Kind);
    Head.Length = Body.size();
    Entry.Closing = true;
    Entry.KeepAlive = false;
    Entry.AnswerEnded = true;
    Entry.BytesSent = 0;
    Entry.State.discardBytes();
    releaseMemory(Entry);
    expectBy(Entry, LingerTime);
    send(Entry, answerHeadText(Head, body_framing::Length, false) + Body, 0);
  }

  /// The connection that an answer belongs to, if it still waits for it. This
  /// fence is what keeps a late answer from any other request.
  entry *awaiting(const response_handle &ResponseHandle) {
    auto Found = Connections.find(ResponseHandle.Connection);
    if (Found == Connections.end() || Found->second.Closing ||
        Found->second.AnswerEnded ||
        !Found->second.State.awaitsResponse(ResponseHandle.Sequence))
      return nullptr;
    return &Found->second;
  }

  /// Closes a connection whose response contradicts itself, so that the caller
  /// sees it cut.
  void closeInconsistent(entry &Entry) {
    event_line("response_inconsistent", event_level::Warning)
        .with("caller_connection", Entry.Peer->getID())
        .with("caller_request", Entry.State.lastSequence());
    close(Entry);
  }

  void take(owned_socket &Socket) { Adopt(std::move(Socket)); }

  void take(response_begin &Begin) {
    entry *Entry = awaiting(Begin.ResponseHandle);
    if (!Entry)
      return;
    if (!Entry->Progress.begin(Begin.Head))
      return closeInconsistent(*Entry);
    Entry->Framing =
        Begin.Head.Length ? body_framing::Length : body_framing::Chunked;
    if (Entry->Framing == body_framing::Chunked && Entry->Progress.hasBody() &&
        !Entry->SupportsChunked) {
      // Without a length such a caller could not tell a cut answer.
      close(*Entry);
      return;
    }
    Entry->KeepAlive = Entry->KeepAlive && !KeepNone;
    send(*Entry, answerHeadText(Begin.Head, Entry->Framing, Entry->KeepAlive),
         0);
  }

  void take(response_data &Piece) {
    entry *Entry = awaiting(Piece.ResponseHandle);
    if (!Entry)
      return;
    std::size_t Size = Piece.Bytes.size();
    if (!Entry->Progress.add(Size))
      return closeInconsistent(*Entry);
    if (Size == 0)
      return;
    if (!Entry->Progress.hasBody())
      return To.onWritten(Entry->Owner, Piece.ResponseHandle, Size);
    if (Entry->Framing == body_framing::Chunked)
      Piece.Bytes = chunkText(Piece.Bytes);
    send(*Entry, std::move(Piece.Bytes), Size);
    while (Settings.LimitsUnreadAnswers && Entry->UnsentBytes != 0 &&
           Memory.overdrawn() &&
           evictFor(*Entry, memory_use::UnreadAnswer, Entry->UnsentBytes)) {
    }
  }

  void take(response_end &End) {
    entry *Entry = awaiting(End.ResponseHandle);
    if (!Entry)
      return;
    if (!Entry->Progress.end())
      return closeInconsistent(*Entry);
    Entry->AnswerEnded = true;
    if (Entry->Framing == body_framing::Chunked && Entry->Progress.hasBody())
      return send(*Entry, std::string(LastChunk), 0);
    finishIfSent(*Entry);
  }

  void take(change_limits &Change) {
    Settings.Limits = Change.Framing;
    Settings.HeadTimeout = Change.HeadTimeout;
    Settings.IdleTimeout = Change.IdleTimeout;
  }

  void take(announce_close &) { KeepNone = true; }

  void take(close_when_idle &Close) {
    KeepNone = true;
    Closed = std::move(Close.Closed);
    for (auto &[Id, Entry] : Connections) {
      Entry.KeepAlive = false;
      if (!Entry.State.inProgress() && !Entry.Closing)
        closeGently(Entry);
    }
    tellIfClosed();
  }

  void tellIfClosed() {
    if (Closed && Connections.empty())
      std::exchange(Closed, std::nullopt)->set_value();
  }

  void take(response_abort &Break) {
    if (entry *Entry = awaiting(Break.ResponseHandle))
      close(*Entry);
  }

  /// What the socket does not take now leaves as the caller reads; a caller
  /// that stalls holds no more than what is queued for it.
  void send(entry &Entry, std::string Text, std::size_t PieceBytes) {
    if (Entry.Unsent.empty())
      Entry.LastProgress = steadyNow();
    Entry.UnsentBytes += Text.size();
    Entry.Unsent.push_back({std::move(Text), PieceBytes});
    if (!Entry.AwaitsWritable)
      sendUnsent(Entry);
    claimHeld(Entry);
  }

  void sendUnsent(entry &Entry) {
    while (!Entry.Unsent.empty()) {
      unsent_text &First = Entry.Unsent.front();
      auto Sent = sendSome(*Entry.Peer,
                           std::string_view(First.Text).substr(First.Sent));
      // The disconnection is reported as for any other connection.
      if (!Sent)
        return breakConnection(*Entry.Peer);
      First.Sent += *Sent;
      Entry.BytesSent += *Sent;
      Entry.UnsentBytes -= *Sent;
      if (*Sent != 0)
        Entry.LastProgress = steadyNow();
      if (First.Sent < First.Text.size())
        return awaitWritable(Entry, true);
      std::size_t PieceBytes = First.PieceBytes;
      Entry.Unsent.pop_front();
      if (PieceBytes != 0)
        To.onWritten(Entry.Owner, ticket(Entry), PieceBytes);
    }
    awaitWritable(Entry, false);
    finishIfSent(Entry);
  }

  void awaitWritable(entry &Entry, bool Wanted) {
    if (std::exchange(Entry.AwaitsWritable, Wanted) != Wanted)
      Watch(Entry.Peer->fd(), Wanted);
  }

  void finishIfSent(entry &Entry) {
    if (!Entry.AnswerEnded || !Entry.Unsent.empty())
      return;
    event_line("response_written", event_level::Debug)
        .with("caller_connection", Entry.Peer->getID())
        .with("caller_request", Entry.State.lastSequence())
        .with("descriptor", Entry.Peer->fd())
        .with("bytes", Entry.BytesSent);
    if (!Entry.KeepAlive) {
      closeGently(Entry);
      return;
    }
    if (!Entry.State.inProgress())
      return;
    Entry.RequestBytes = 0;
    Entry.AnswerEnded = false;
    Entry.State.finishResponse();
    if (Entry.State.hasBytes())
      expectHead(Entry);
    else
      expectBy(Entry, Settings.IdleTimeout);
    takeRequests(Entry);
    claimHeld(Entry);
    resumeReading(Entry);
  }

  std::size_t Index;
  front_end_settings Settings;
  Sink &To;
  memory_budget &Memory;
  mailbox<worker_message> Inbox;
  timer_descriptor Timer;
  std::unordered_map<std::uint64_t, entry> Connections;
  std::unordered_map<int, std::uint64_t> ByDescriptor;
  connection_adopter Adopt;
  descriptor_watch Watch;
  std::vector<char> ReadBuffer = std::vector<char>(PieceBytes);
  std::atomic<std::size_t> Count = 0;
  thread_lag Lag{"connection"};
  std::size_t UnreportedEvictions = 0;
  steady_time NextEvictionReport{};
  bool KeepNone = false;
  std::optional<std::promise<void>> Closed;
};

} // namespace detail
} // namespace endiverail

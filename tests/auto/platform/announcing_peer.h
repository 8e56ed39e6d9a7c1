#pragma once

#include "daemon/store_control_thread.h"
#include "failure_check.h"
#include "peer/datagram_socket.h"
#include "peer/peer_codec.h"
#include "process/swim.h"
#include "raw_socket.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace endiverail::test {

/// A member of the fleet on loopback that announces versions of the
/// configuration and answers requests for a copy.
class announcing_peer {
public:
  announcing_peer(std::string Id, std::string DataCentre, endpoint_text Daemon,
                  std::string FleetSecret)
      : Daemon(std::move(Daemon)), Codec(std::move(FleetSecret)),
        Server([this](raw_connection Caller, std::size_t Index) {
          serve(Caller, Index);
        }),
        Socket(valueOf(datagram_socket::create(Server.endpoint()))),
        Members({std::move(Id), std::move(DataCentre), Server.endpoint(), 1,
                 true, Server.endpoint(), Capacity},
                {}, Server.port()),
        Thread([this](const std::stop_token &Stop) { run(Stop); }) {}

  /// From now on this peer has \p Configuration, the text of a version.
  void announce(std::uint64_t Version, std::string Configuration) {
    std::scoped_lock Lock(Mutex);
    Copy = {Version, std::move(Configuration), {}};
  }

  /// No request gets an answer on a connection that is open now.
  void silenceConnections() { SilentBefore = Accepted.load(); }
  /// No request gets an answer, as with a process that stands still.
  void silenceAll() { SilentBefore = std::numeric_limits<std::size_t>::max(); }

private:
  static constexpr std::uint32_t Capacity = 10;

  fleet_copy copy() {
    std::scoped_lock Lock(Mutex);
    return Copy;
  }

  void serve(raw_connection &Caller, std::size_t Index) {
    Accepted = Index + 1;
    // The connection class throws when nothing comes for a long time.
    try {
      while (!Caller.readUntil("\r\n\r\n").empty()) {
        if (Index < SilentBefore)
          continue;
        std::string Body = Codec.encode(copy());
        Caller.send("HTTP/1.1 200 OK\r\nContent-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body);
      }
    } catch (const std::exception &) {
      return;
    }
  }

  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      if (Members.members().size() == 1)
        Members.addCandidates(std::span(&Daemon, 1));
      std::vector<outgoing_gossip> Gossip;
      while (auto Bytes = Socket.receive())
        Members.receive(
            valueFrom([&] { return Codec.decodeMessage(*Bytes); }).Gossip,
            steadyNow(), Gossip);
      Members.tick(steadyNow(), Gossip);
      gossip_message News;
      News.Kind = gossip_kind::ItemsOnly;
      News.SenderId = Members.self().Id;
      Gossip.push_back({Daemon, std::move(News)});
      for (outgoing_gossip &Each : Gossip)
        send(std::move(Each));
      poll(nullptr, 0, 20);
    }
  }

  void send(outgoing_gossip Gossip) {
    peer_message Message;
    Message.Gossip = std::move(Gossip.Message);
    Message.Digest.Configuration = copy().Version;
    Message.ReadsStore = true;
    Message.Time.WallMilliseconds = wallNow().time_since_epoch().count();
    Socket.send(Gossip.To, Codec.encode(Message));
  }

  endpoint_text Daemon;
  peer_codec Codec;
  std::mutex Mutex;
  fleet_copy Copy;
  std::atomic<std::size_t> Accepted = 0;
  std::atomic<std::size_t> SilentBefore = 0;
  raw_server Server;
  datagram_socket Socket;
  swim Members;
  std::jthread Thread;
};

} // namespace endiverail::test

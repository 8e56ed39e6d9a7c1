#include "experiment/experiments.h"

#include "base/hash.h"
#include "files/service_file.h"
#include "peer/peer_codec.h"
#include "process/control_state.h"
#include "process/rank_queue.h"

#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <functional>

namespace endiverail {
namespace {

constexpr std::size_t RoutesPerService = 7;

double heapKiB() { return static_cast<double>(mallinfo2().uordblks) / 1024; }

/// Processor time of this thread's process, in milliseconds.
double cpuMilliseconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e3 +
         static_cast<double>(Time.tv_nsec) / 1e6;
}

struct cost {
  double Milliseconds = 0;
  double KiB = 0;
};

cost costOf(const std::function<void()> &Work) {
  double Heap = heapKiB();
  double Start = cpuMilliseconds();
  Work();
  return {cpuMilliseconds() - Start, heapKiB() - Heap};
}

std::string serviceText(std::size_t Index) {
  std::string Name = "service-" + std::to_string(Index);
  std::string Kinds;
  for (std::size_t Route = 0; Route < RoutesPerService; ++Route)
    Kinds += std::string(Route ? "," : "") + R"({"name":"kind-)" +
             std::to_string(Route) + R"(","method":"GET","path":"/)" + Name +
             "/part-" + std::to_string(Route) +
             R"(/*","rank":"normal","idempotent":true,"target_ms":200})";
  return R"({"service":")" + Name + R"(","pool_size":15,"floor":11,"kinds":[)" +
         Kinds + "]}";
}

acceptance acceptanceOf(const signing_key &Customer, std::size_t Index) {
  service_file File = readServiceFile("f", serviceText(Index)).value();
  acceptance Record{File.Definition,
                    "",
                    File.ContentHash,
                    File.Content,
                    1,
                    Customer.Public,
                    "",
                    0,
                    false};
  Record.Signature =
      sign(Customer, signedText(File.Definition.Name, "", File.ContentHash, 1))
          .value();
  return Record;
}

experiment_table::row foldRow(std::size_t Services) {
  signing_key Customer = signing_key::generate().value();
  std::vector<acceptance> Records;
  for (std::size_t Index = 0; Index < Services; ++Index)
    Records.push_back(acceptanceOf(Customer, Index));
  configuration_state ConfigurationState =
      configuration_state::create(std::vector{Customer.Public}).value();
  cost Applied = costOf([&] {
    for (const acceptance &Record : Records)
      static_cast<void>(ConfigurationState.apply(Record));
  });
  auto Count = static_cast<double>(Services);
  return {std::to_string(Services) + " services of 7 routes, folded",
          {Applied.Milliseconds, Applied.KiB,
           1e3 * Applied.Milliseconds / Count, Applied.KiB / Count}};
}

fleet_view viewOf(std::size_t Proxies, std::size_t Servers) {
  fleet_view View;
  for (std::size_t Index = 0; Index < Proxies; ++Index)
    View.Proxies.push_back({"proxy-" + std::to_string(10'000 + Index),
                            "data-centre-" + std::to_string(Index % 14),
                            "10.0." + std::to_string(Index / 250) + "." +
                                std::to_string(Index % 250) + ":8000",
                            1, true});
  for (std::size_t Index = 0; Index < Servers; ++Index)
    View.Servers.push_back({"10.1." + std::to_string(Index / 250) + "." +
                                std::to_string(Index % 250) + ":9000",
                            "service-" + std::to_string(Index / 15),
                            "data-centre-" + std::to_string(Index % 14),
                            server_state::Live});
  std::ranges::sort(View.Servers, {}, &backend_server::Pool);
  return View;
}

experiment_table::row ownersRow(std::size_t Proxies, std::size_t Services) {
  fleet_view View = viewOf(Proxies, Services * 15);
  std::vector<service_definition> Definitions;
  for (std::size_t Index = 0; Index < Services; ++Index)
    Definitions.push_back(
        readServiceFile("f", serviceText(Index)).value().Definition);
  std::vector<service_owners> Owners;
  cost Chosen = costOf([&] {
    owner_chooser Chooser(View);
    for (const service_definition &Definition : Definitions)
      Owners.push_back(Chooser.choose(Definition));
  });
  auto Count = static_cast<double>(Proxies);
  return {"owners of " + std::to_string(Services) + " services among " +
              std::to_string(Proxies) + " proxies",
          {Chosen.Milliseconds, Chosen.KiB, 1e3 * Chosen.Milliseconds / Count,
           Chosen.KiB / Count}};
}

member_update memberOf(std::size_t Index) {
  return {{"proxy-" + std::to_string(10'000 + Index),
           "data-centre-" + std::to_string(Index % 14),
           "10.0." + std::to_string(Index / 250) + "." +
               std::to_string(Index % 250) + ":8000",
           1, true},
          0,
          member_state::Alive};
}

/// One member's hour of gossip in a fleet of that size, codec included.
experiment_table::row gossipRow(std::size_t Members) {
  constexpr int Periods = 7'200;
  swim Member(memberOf(0).Proxy, {}, 1);
  steady_time Now{std::chrono::hours(1)};
  std::vector<member_update> Others;
  for (std::size_t Index = 1; Index < Members; ++Index)
    Others.push_back(memberOf(Index));
  cost Learned = costOf([&] { Member.applyUpdates(Others, Now); });
  peer_codec Codec("a secret of the fleet");
  std::size_t Bytes = 0;
  cost Ran = costOf([&] {
    for (int Period = 0; Period < Periods; ++Period) {
      Now += milliseconds(500);
      std::vector<outgoing_gossip> Out;
      Member.tick(Now, Out);
      // Each ping is answered, and one comes in for each that goes out.
      std::vector<outgoing_gossip> Replies;
      for (const outgoing_gossip &Each : Out) {
        gossip_message Ack = Each.Message;
        Ack.Kind = gossip_kind::Ack;
        Ack.SenderId = "proxy-10001";
        Ack.Updates = {memberOf(1)};
        Member.receive(Ack, Now, Replies);
        gossip_message Ping = Ack;
        Ping.Kind = gossip_kind::Ping;
        Member.receive(Ping, Now, Replies);
      }
      Out.insert(Out.end(), Replies.begin(), Replies.end());
      for (const outgoing_gossip &Each : Out) {
        peer_message Message;
        Message.Gossip = Each.Message;
        std::string Packed = Codec.encode(Message);
        Bytes += 2 * Packed.size();
        static_cast<void>(Codec.decodeMessage(Packed));
      }
    }
  });
  double Seconds = Periods / 2.0;
  return {"gossip of one among " + std::to_string(Members) + ", one hour",
          {Ran.Milliseconds, Learned.KiB, Ran.Milliseconds / Seconds / 10,
           static_cast<double>(Bytes) / Seconds / 1024}};
}

host_list hostsOf(std::size_t Servers) {
  host_list Hosts;
  Hosts.Revision = 1;
  for (std::size_t Index = 0; Index < Servers; ++Index)
    Hosts.Servers.push_back({"10." + std::to_string(Index / 62'500) + "." +
                                 std::to_string(Index / 250 % 250) + "." +
                                 std::to_string(Index % 250) + ":8000",
                             "pool-" + std::to_string(100 + Index / 15),
                             "data-centre-" + std::to_string(Index % 14),
                             server_state::Live});
  std::ranges::sort(Hosts.Servers, {}, [](const backend_server &Server) {
    return std::pair(Server.Pool, Server.Address);
  });
  return Hosts;
}

/// KiB of a reply to a pull on the wire, which is decoded as well.
double wireKiB(const pull_reply &Reply) {
  peer_codec Codec("a secret of the fleet");
  std::string Packed = Codec.encode(Reply);
  static_cast<void>(Codec.decodeReply(Packed));
  return static_cast<double>(Packed.size()) / 1024;
}

experiment_table::row wholeHostsRow(std::size_t Servers) {
  host_list Hosts;
  cost Kept = costOf([&] { Hosts = hostsOf(Servers); });
  pull_reply Reply;
  Reply.Hosts = Hosts;
  double Sent = 0;
  cost Carried = costOf([&] { Sent = wireKiB(Reply); });
  auto Count = static_cast<double>(Servers);
  return {"whole host list of " + std::to_string(Servers) + " servers, sent",
          {Carried.Milliseconds, Kept.KiB, 1e3 * Carried.Milliseconds / Count,
           Sent}};
}

experiment_table::row changedHostsRow(std::size_t Servers) {
  host_list Old = hostsOf(Servers);
  host_list New = Old;
  ++New.Revision;
  New.Servers[Servers / 2].State = server_state::Leaving;
  host_list_history History;
  History.record({}, Old);
  double Sent = 0;
  cost Carried = costOf([&] {
    History.record(Old, New);
    pull_reply Reply;
    Reply.HostsChange = History.since(Old.Revision, New);
    Sent = wireKiB(Reply);
    Old = applyChange(std::move(Old), *Reply.HostsChange);
  });
  return {
      "one change among " + std::to_string(Servers) + " servers, sent",
      {Carried.Milliseconds, Carried.KiB, 1e3 * Carried.Milliseconds, Sent}};
}

experiment_table::row organisationRow(std::size_t Organisations) {
  rank_queue Queue(Organisations + 1);
  cost Queued = costOf([&] {
    for (std::size_t Index = 0; Index < Organisations; ++Index) {
      waiting_request Request;
      Request.Id = Index + 1;
      Request.Organisation = "organisation-" + std::to_string(Index);
      Queue.push(std::move(Request), {});
    }
  });
  auto Count = static_cast<double>(Organisations);
  return {std::to_string(Organisations) + " organisations with waiting work",
          {Queued.Milliseconds, Queued.KiB, 1e3 * Queued.Milliseconds / Count,
           Queued.KiB / Count}};
}

} // namespace

experiment_table capacityExperiment() {
  experiment_table Table{
      "Control state in one process. Last two columns: us and KiB per service, "
      "proxy or organisation; for gossip core % and KiB/s; for host lists us "
      "and KiB on the wire",
      {"cpu ms", "heap KiB", "each us", "each KiB"},
      {}};
  for (std::size_t Services : {93, 310, 930})
    Table.Rows.push_back(foldRow(Services));
  for (std::size_t Proxies : {44, 400, 1'600})
    Table.Rows.push_back(ownersRow(Proxies, 930));
  for (std::size_t Members : {44, 400, 1'600})
    Table.Rows.push_back(gossipRow(Members));
  for (std::size_t Servers : {1'400, 14'000}) {
    Table.Rows.push_back(wholeHostsRow(Servers));
    Table.Rows.push_back(changedHostsRow(Servers));
  }
  for (std::size_t Organisations : {100, 400})
    Table.Rows.push_back(organisationRow(Organisations));
  return Table;
}

} // namespace endiverail

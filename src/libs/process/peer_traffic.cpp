#include "process/peer_traffic.h"

#include "log/event_line.h"
#include "process/control_message.h"

#include <string>

namespace endiverail {

std::string_view datagramPurposeName(datagram_purpose Purpose) {
  switch (Purpose) {
  case datagram_purpose::Membership:
    return "membership";
  case datagram_purpose::Work:
    return "work";
  case datagram_purpose::Servers:
    return "servers";
  case datagram_purpose::ServersQuery:
    return "servers-query";
  case datagram_purpose::ServersAnswer:
    return "servers-answer";
  case datagram_purpose::Configuration:
    return "configuration";
  case datagram_purpose::Death:
    return "death";
  case datagram_purpose::Quota:
    break;
  }
  return "quota";
}

datagram_purpose purposeOf(const peer_message &Message) {
  if (Message.Gossip.Kind != gossip_kind::ItemsOnly)
    return datagram_purpose::Membership;
  if (!Message.Work.empty())
    return datagram_purpose::Work;
  if (!Message.Deaths.empty())
    return datagram_purpose::Death;
  if (Message.QuotaReport || !Message.QuotaShares.empty())
    return datagram_purpose::Quota;
  if (!Message.ServersDigestParts.empty())
    return datagram_purpose::ServersQuery;
  if (Message.AnswerTo)
    return datagram_purpose::ServersAnswer;
  if (Message.ReadsStore)
    return datagram_purpose::Servers;
  return datagram_purpose::Configuration;
}

void peer_traffic::log(steady_time Now) {
  if (LastLogged && Now < *LastLogged + LogPeriod)
    return;
  if (LastLogged) {
    event_line Line("peer_traffic");
    auto Add = [&](std::string_view Direction, const volumes &Totals,
                   const volumes &Logged) {
      auto Counts = nlohmann::ordered_json::object();
      for (datagram_purpose Purpose : DatagramPurposes) {
        const volume &Total = Totals[index(Purpose)];
        const volume &Earlier = Logged[index(Purpose)];
        if (Total != Earlier)
          Counts[std::string(datagramPurposeName(Purpose))] = {
              Total.Datagrams - Earlier.Datagrams, Total.Bytes - Earlier.Bytes};
      }
      Line.with(Direction, std::move(Counts));
    };
    Add("sent", Sent, LoggedSent);
    Add("received", Received, LoggedReceived);
  }
  LastLogged = Now;
  LoggedSent = Sent;
  LoggedReceived = Received;
}

} // namespace endiverail

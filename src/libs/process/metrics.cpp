#include "process/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <iterator>

namespace endiverail {

namespace accumulators = boost::accumulators;

latency_summary::latency_summary()
    : Times(accumulators::extended_p_square_probabilities = Quantiles) {}

void latency_summary::add(microseconds Time) {
  Times(static_cast<double>(Time.count()) / 1000);
}

std::uint64_t latency_summary::count() const {
  return accumulators::count(Times);
}

double latency_summary::sumMilliseconds() const {
  return accumulators::sum(Times);
}

double latency_summary::quantileMilliseconds(double Quantile) const {
  if (count() == 0)
    return 0;
  return accumulators::quantile(Times,
                                accumulators::quantile_probability = Quantile);
}

void process_metrics::onResponse(std::string_view Service, rank Rank,
                                 outcome Outcome, std::string_view Error,
                                 microseconds Time) {
  std::lock_guard Lock(Mutex);
  ++Responses[{std::string(Service), Rank, Outcome, std::string(Error)}];
  Latencies[{std::string(Service), Rank}].add(Time);
}

void process_metrics::onRetry(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++Retries[std::string(Service)];
}

void process_metrics::onForward(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++Forwards[std::string(Service)];
}

void process_metrics::onForeignAnswer(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++ForeignAnswers[std::string(Service)];
}

void process_metrics::onDiscardedConnection(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++DiscardedConnections[std::string(Service)];
}

void process_metrics::onServerLeaving(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++ServersLeaving[std::string(Service)];
}

void process_metrics::onOverloadRefusal(std::string_view Service) {
  std::lock_guard Lock(Mutex);
  ++OverloadRefusals[std::string(Service)];
}

void process_metrics::onQuotaRefusal(std::string_view Basis) {
  std::lock_guard Lock(Mutex);
  ++QuotaRefusals[std::string(Basis)];
}

void process_metrics::onUnknownAccessKey() {
  std::lock_guard Lock(Mutex);
  ++UnknownAccessKeys;
}

void process_metrics::onPauseRequest(std::string_view Service, bool Readable) {
  std::lock_guard Lock(Mutex);
  ++(Readable ? Pauses : UnreadablePauses)[std::string(Service)];
}

void process_metrics::setGauge(std::string_view Name, double Value) {
  std::lock_guard Lock(Mutex);
  Gauges[std::string(Name)] = Value;
}

void process_metrics::setServerChanges(std::string_view Source,
                                       std::uint64_t Count) {
  std::lock_guard Lock(Mutex);
  ServerChanges[std::string(Source)] = Count;
}

void process_metrics::setIdleServers(std::string_view Service,
                                     std::string_view Reason,
                                     std::size_t Count) {
  std::lock_guard Lock(Mutex);
  IdleServers[{std::string(Service), std::string(Reason)}] = Count;
}

void process_metrics::setCosts(std::string_view Service,
                               std::vector<cost_model::accuracy> Routes) {
  std::lock_guard Lock(Mutex);
  Costs.insert_or_assign(std::string(Service), std::move(Routes));
}

void process_metrics::setPeerTraffic(const peer_traffic &Traffic) {
  std::lock_guard Lock(Mutex);
  PeerTraffic = Traffic;
}

std::string process_metrics::text() const {
  std::lock_guard Lock(Mutex);
  std::string Text;
  auto Out = std::back_inserter(Text);
  Text += "# TYPE endiverail_answers_total counter\n";
  for (const auto &[Key, Count] : Responses)
    fmt::format_to(Out,
                   "endiverail_answers_total{{service=\"{}\",rank=\"{}\","
                   "outcome=\"{}\",error=\"{}\"}} {}\n",
                   Key.Service, rankName(Key.Rank), outcomeName(Key.Outcome),
                   Key.Error, Count);
  Text += "# TYPE endiverail_answer_milliseconds summary\n";
  for (const auto &[Key, Summary] : Latencies) {
    for (double Quantile : latency_summary::Quantiles)
      fmt::format_to(Out,
                     "endiverail_answer_milliseconds{{service=\"{}\","
                     "rank=\"{}\",quantile=\"{}\"}} {:.3f}\n",
                     Key.Service, rankName(Key.Rank), Quantile,
                     Summary.quantileMilliseconds(Quantile));
    fmt::format_to(Out,
                   "endiverail_answer_milliseconds_count{{service=\"{}\","
                   "rank=\"{}\"}} {}\n",
                   Key.Service, rankName(Key.Rank), Summary.count());
    fmt::format_to(Out,
                   "endiverail_answer_milliseconds_sum{{service=\"{}\","
                   "rank=\"{}\"}} {:.3f}\n",
                   Key.Service, rankName(Key.Rank), Summary.sumMilliseconds());
  }
  Text += "# TYPE endiverail_retries_total counter\n";
  for (const auto &[Service, Count] : Retries)
    fmt::format_to(Out, "endiverail_retries_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_forwards_total counter\n";
  for (const auto &[Service, Count] : Forwards)
    fmt::format_to(Out, "endiverail_forwards_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_foreign_answers_total counter\n";
  for (const auto &[Service, Count] : ForeignAnswers)
    fmt::format_to(Out,
                   "endiverail_foreign_answers_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_discarded_connections_total counter\n";
  for (const auto &[Service, Count] : DiscardedConnections)
    fmt::format_to(
        Out, "endiverail_discarded_connections_total{{service=\"{}\"}} {}\n",
        Service, Count);
  Text += "# TYPE endiverail_servers_leaving_total counter\n";
  for (const auto &[Service, Count] : ServersLeaving)
    fmt::format_to(Out,
                   "endiverail_servers_leaving_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_overload_refusals_total counter\n";
  for (const auto &[Service, Count] : OverloadRefusals)
    fmt::format_to(Out,
                   "endiverail_overload_refusals_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_quota_refusals_total counter\n";
  for (const auto &[Basis, Count] : QuotaRefusals)
    fmt::format_to(Out, "endiverail_quota_refusals_total{{basis=\"{}\"}} {}\n",
                   Basis, Count);
  fmt::format_to(Out,
                 "# TYPE endiverail_unknown_access_keys_total counter\n"
                 "endiverail_unknown_access_keys_total {}\n",
                 UnknownAccessKeys);
  Text += "# TYPE endiverail_server_pauses_total counter\n";
  for (const auto &[Service, Count] : Pauses)
    fmt::format_to(Out, "endiverail_server_pauses_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_unreadable_pauses_total counter\n";
  for (const auto &[Service, Count] : UnreadablePauses)
    fmt::format_to(Out,
                   "endiverail_unreadable_pauses_total{{service=\"{}\"}} {}\n",
                   Service, Count);
  Text += "# TYPE endiverail_server_changes_total counter\n";
  for (const auto &[Source, Count] : ServerChanges)
    fmt::format_to(Out, "endiverail_server_changes_total{{source=\"{}\"}} {}\n",
                   Source, Count);
  Text += "# TYPE endiverail_idle_servers gauge\n";
  for (const auto &[Key, Count] : IdleServers)
    fmt::format_to(
        Out, "endiverail_idle_servers{{service=\"{}\",reason=\"{}\"}} {}\n",
        Key.Service, Key.Reason, Count);
  Text += "# TYPE endiverail_request_cost_milliseconds gauge\n";
  auto AddCost = [&](std::string_view Service, std::string_view Route,
                     std::string_view Value, double Milliseconds) {
    fmt::format_to(Out,
                   "endiverail_request_cost_milliseconds{{service=\"{}\","
                   "route=\"{}\",value=\"{}\"}} {:.1f}\n",
                   Service, Route, Value, Milliseconds);
  };
  for (const auto &[Service, Routes] : Costs)
    for (const cost_model::accuracy &Route : Routes) {
      AddCost(Service, Route.Route, "expected", Route.ExpectedMean);
      AddCost(Service, Route.Route, "true", Route.TrueMean);
      AddCost(Service, Route.Route, "error", Route.MeanAbsoluteError);
    }
  auto AddPeerTraffic = [&](std::string_view Direction,
                            datagram_purpose Purpose,
                            const peer_traffic::volume &Volume) {
    if (Volume.Datagrams == 0)
      return;
    std::string_view Name = datagramPurposeName(Purpose);
    fmt::format_to(Out,
                   "endiverail_peer_datagrams_total{{direction=\"{0}\","
                   "purpose=\"{1}\"}} {2}\n"
                   "endiverail_peer_bytes_total{{direction=\"{0}\","
                   "purpose=\"{1}\"}} {3}\n",
                   Direction, Name, Volume.Datagrams, Volume.Bytes);
  };
  for (datagram_purpose Purpose : DatagramPurposes) {
    AddPeerTraffic("sent", Purpose, PeerTraffic.sent(Purpose));
    AddPeerTraffic("received", Purpose, PeerTraffic.received(Purpose));
  }
  for (const auto &[Name, Value] : Gauges)
    fmt::format_to(Out, "# TYPE endiverail_{0} gauge\nendiverail_{0} {1}\n",
                   Name, Value);
  return Text;
}

} // namespace endiverail

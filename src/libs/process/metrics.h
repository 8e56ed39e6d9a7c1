#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "placement/cost_model.h"
#include "process/peer_traffic.h"
#include "version/rank.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Estimates quantiles of a stream of durations in constant memory.
class latency_summary {
public:
  static constexpr std::array<double, 3> Quantiles{0.5, 0.9, 0.99};

  latency_summary();

  void add(microseconds Time);
  std::uint64_t count() const;
  double sumMilliseconds() const;
  /// Returns 0 if nothing was added. \p Quantile must be one of Quantiles.
  double quantileMilliseconds(double Quantile) const;

private:
  boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::sum,
          boost::accumulators::tag::extended_p_square_quantile>>
      Times;
};

/// Metrics of one process. Thread-safe.
class process_metrics {
public:
  /// Counts a response of \p Service; \p Error is empty if there was none.
  void onResponse(std::string_view Service, rank Rank, outcome Outcome,
                  std::string_view Error, microseconds Time);
  void onRetry(std::string_view Service);
  void onForward(std::string_view Service);
  /// Counts a backend server's response to another request.
  void onForeignAnswer(std::string_view Service);
  /// Counts a kept connection to a backend server that held bytes of no
  /// request.
  void onDiscardedConnection(std::string_view Service);
  /// Counts a backend server's announcement that it is leaving.
  void onServerLeaving(std::string_view Service);
  /// Counts a backend server's request to be sent nothing for a time;
  /// \p Readable states whether it named a time.
  void onPauseRequest(std::string_view Service, bool Readable);
  /// Counts a request that was refused as this host can't keep up.
  void onOverloadRefusal(std::string_view Service);
  /// Counts a request that was refused because its organisation has used up its
  /// quota; \p Basis is what the decision was made by.
  void onQuotaRefusal(std::string_view Basis);
  /// Counts a request that was refused for lack of a known access key.
  void onUnknownAccessKey();
  void setGauge(std::string_view Name, double Value);
  /// Sets the number of changes to the list of backend servers that were
  /// learned from \p Source since the process started.
  void setServerChanges(std::string_view Source, std::uint64_t Count);
  /// Sets the number of backend servers of \p Service that get no requests for
  /// \p Reason.
  void setIdleServers(std::string_view Service, std::string_view Reason,
                      std::size_t Count);
  /// Replaces the expected and true costs of the routes of \p Service.
  void setCosts(std::string_view Service,
                std::vector<cost_model::accuracy> Routes);
  /// Sets the totals of datagrams exchanged with peers.
  void setPeerTraffic(const peer_traffic &Traffic);

  /// All metrics in the Prometheus text format.
  std::string text() const;

private:
  struct response_key {
    std::string Service;
    rank Rank;
    outcome Outcome;
    std::string Error;
    auto operator<=>(const response_key &) const = default;
  };
  struct service_rank {
    std::string Service;
    rank Rank;
    auto operator<=>(const service_rank &) const = default;
  };

  mutable std::mutex Mutex;
  std::map<response_key, std::uint64_t> Responses;
  std::map<service_rank, latency_summary> Latencies;
  std::map<std::string, std::uint64_t, std::less<>> Retries;
  std::map<std::string, std::uint64_t, std::less<>> Forwards;
  std::map<std::string, std::uint64_t, std::less<>> ForeignAnswers;
  std::map<std::string, std::uint64_t, std::less<>> DiscardedConnections;
  std::map<std::string, std::uint64_t, std::less<>> ServersLeaving;
  std::map<std::string, std::uint64_t, std::less<>> Pauses;
  std::map<std::string, std::uint64_t, std::less<>> UnreadablePauses;
  std::map<std::string, std::uint64_t, std::less<>> OverloadRefusals;
  std::map<std::string, std::uint64_t, std::less<>> QuotaRefusals;
  std::uint64_t UnknownAccessKeys = 0;
  std::map<std::string, std::uint64_t, std::less<>> ServerChanges;
  struct service_reason {
    std::string Service;
    std::string Reason;
    auto operator<=>(const service_reason &) const = default;
  };
  std::map<service_reason, std::size_t> IdleServers;
  std::map<std::string, std::vector<cost_model::accuracy>, std::less<>> Costs;
  std::map<std::string, double, std::less<>> Gauges;
  peer_traffic PeerTraffic;
};

} // namespace endiverail

#pragma once

#include "base/time.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace endiverail::test {

/// Checks that the healthy servers of a pool are in use while many requests
/// fail: in any two seconds in which more than a tenth and less than half of
/// the requests are not served, seven tenths of the healthy servers have to get
/// a request.
class floor_check {
public:
  struct result {
    /// Windows to which the requirement applied, and those that broke it.
    int Windows = 0;
    int Broken = 0;
    /// Largest share of the healthy servers that got nothing in such a window.
    double MaxIdleShare = 0;

    result &operator+=(const result &Other) {
      Windows += Other.Windows;
      Broken += Other.Broken;
      MaxIdleShare = std::max(MaxIdleShare, Other.MaxIdleShare);
      return *this;
    }
  };

  void addServer(const std::string &Name) { Servers.try_emplace(Name); }
  void addRequest(steady_time At) { Sent.push_back(At); }
  void addUnserved(steady_time SentAt) { Unserved.push_back(SentAt); }
  void addArrival(const std::string &Server, steady_time At) {
    Servers[Server].Arrivals.push_back(At);
  }
  /// A failure of the server's own, after which it counts as healthy again.
  void addFailure(const std::string &Server, steady_time At) {
    Servers[Server].Failures.push_back(At);
  }
  /// A fault of the server or its links from \p From to \p To.
  void addFault(const std::string &Server, steady_time From, steady_time To) {
    Servers[Server].Faults.push_back({From, To});
  }

  result evaluate(steady_time From, steady_time To) {
    std::ranges::sort(Sent);
    std::ranges::sort(Unserved);
    for (auto &[Name, Server] : Servers) {
      std::ranges::sort(Server.Arrivals);
      std::ranges::sort(Server.Failures);
    }
    result Result;
    for (steady_time Begin = From; Begin + Window <= To; Begin += Step)
      evaluateWindow(Begin, Result);
    return Result;
  }

private:
  static constexpr std::chrono::seconds Window{2};
  static constexpr milliseconds Step{50};
  static constexpr std::chrono::seconds HealthyAfterFault{6};
  static constexpr double MinUnserved = 0.1;
  static constexpr double MaxUnserved = 0.5;
  static constexpr double MaxIdle = 0.3;

  struct span {
    steady_time From;
    steady_time To;
  };
  struct server {
    std::vector<steady_time> Arrivals;
    std::vector<steady_time> Failures;
    std::vector<span> Faults;
  };

  static std::ptrdiff_t countIn(const std::vector<steady_time> &Times,
                                steady_time From) {
    return std::ranges::lower_bound(Times, From + Window) -
           std::ranges::lower_bound(Times, From);
  }

  static bool isHealthy(const server &Server, steady_time From) {
    return countIn(Server.Failures, From) == 0 &&
           std::ranges::none_of(Server.Faults, [&](const span &Fault) {
             return Fault.From < From + Window &&
                    Fault.To + HealthyAfterFault > From;
           });
  }

  void evaluateWindow(steady_time From, result &Result) const {
    auto Requests = static_cast<double>(countIn(Sent, From));
    auto Failed = static_cast<double>(countIn(Unserved, From));
    if (Failed <= MinUnserved * Requests || Failed >= MaxUnserved * Requests)
      return;
    double Healthy = 0;
    double Idle = 0;
    for (const auto &[Name, Server] : Servers) {
      if (!isHealthy(Server, From))
        continue;
      Healthy += 1;
      Idle += countIn(Server.Arrivals, From) == 0 ? 1 : 0;
    }
    if (Healthy == 0 || Idle == Healthy)
      return;
    ++Result.Windows;
    Result.MaxIdleShare = std::max(Result.MaxIdleShare, Idle / Healthy);
    Result.Broken += Idle > MaxIdle * Healthy ? 1 : 0;
  }

  std::map<std::string, server> Servers;
  std::vector<steady_time> Sent;
  std::vector<steady_time> Unserved;
};

} // namespace endiverail::test

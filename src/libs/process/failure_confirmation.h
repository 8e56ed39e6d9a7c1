#pragma once

#include "base/time.h"
#include "version/fleet_view.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace endiverail {

enum class opinion_verdict {
  /// Other proxies are still trying the backend server.
  Open,
  /// The backend server also fails for other proxies, or no result could be
  /// obtained.
  Confirmed,
  /// The backend server works for other proxies: the fault is on the path
  /// between this proxy and the backend server.
  Contradicted,
};

/// Distinguishes a backend server that fails from one that this proxy can't
/// reach. Other proxies try the backend server with requests of this proxy, and
/// a sequential probability ratio test on their results compares the hypotheses
/// "fails there at the same rate" and "is healthy there".
class failure_confirmation {
public:
  /// Returns the verdict on a backend server that fails for the share
  /// \p FailingShare of this proxy's requests. Starts an inquiry if there is
  /// none.
  opinion_verdict verdict(std::string_view Server, double FailingShare,
                          steady_time Now);

  /// Returns a backend server that another proxy should try now.
  std::optional<endpoint_text> nextServerToTry(steady_time Now) const;

  /// A request was sent to another proxy to try the backend server.
  void onTryStarted(std::string_view Server, steady_time Now);
  /// Adds the result of a try by another proxy.
  void addResult(std::string_view Server, bool Succeeded);
  /// No other proxy is available to try the backend server now. This may be
  /// for a moment only, so it decides nothing by itself.
  void onNoPeerAvailable(std::string_view Server, steady_time Now);

  /// Removes inquiries about backend servers that are not in \p Failing, except
  /// for contradicted ones that are still valid.
  void retainOnly(std::span<const endpoint_text> Failing, steady_time Now);

private:
  struct inquiry {
    steady_time Since;
    /// When another proxy last started to try the backend server.
    steady_time LastTried;
    steady_time NextTry;
    double FailingShare = 1;
    /// Log likelihood ratio of "fails there too" to "is healthy there".
    double LogLikelihoodRatio = 0;
    opinion_verdict Verdict = opinion_verdict::Open;
  };

  inquiry *find(std::string_view Server);

  std::map<endpoint_text, inquiry, std::less<>> Inquiries;
};

} // namespace endiverail

#pragma once

#include "base/time.h"
#include "version/fleet_view.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace endiverail {

enum class confirmation_result {
  /// Other proxies are being asked.
  Pending,
  /// Others find it failing too, or nobody could tell.
  Confirmed,
  /// Others find it well: what fails lies between here and there.
  Contradicted,
};

/// Tells a backend server that fails from one that can't be reached well from
/// here. Other proxies try it with requests of this one; a sequential test
/// compares "it fails there as it does here" with "it is well there".
class failure_confirmation {
public:
  /// How things stand with a backend server that fails from here in
  /// \p FailingShare of its work. Begins to ask when that was not done yet.
  confirmation_result check(std::string_view Server, double FailureRate,
                            steady_time Now);

  /// A backend server that another proxy should try now.
  std::optional<endpoint_text> nextServerToTry(steady_time Now) const;

  /// A request is on its way to another proxy for that.
  void onTryStarted(std::string_view Server, steady_time Now);
  /// What the other proxy found.
  void addResult(std::string_view Server, bool Succeeded);
  /// There is no other proxy that could be asked.
  void onNoPeerAvailable(std::string_view Server);

  /// Forgets those that are not among the failing ones any more.
  void retainOnly(std::span<const endpoint_text> Failing, steady_time Now);

private:
  struct inquiry {
    steady_time Since;
    /// When another proxy was last asked.
    steady_time LastTried;
    steady_time NextTry;
    double FailureRate = 1;
    /// Log likelihood ratio of "fails there too" against "is well there".
    double LogLikelihoodRatio = 0;
    confirmation_result Result = confirmation_result::Pending;
  };

  inquiry *find(std::string_view Server);

  std::map<endpoint_text, inquiry, std::less<>> Inquiries;
};

} // namespace endiverail

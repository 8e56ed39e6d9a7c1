#pragma once

#include "base/time.h"
#include "version/fleet_view.h"

#include <map>
#include <optional>
#include <span>
#include <string_view>

namespace endiverail {

enum class opinion_verdict {
  /// Other proxies are being asked.
  Open,
  /// Others find it failing too, or nobody could tell.
  Confirmed,
  /// Others find it well: what fails lies between here and there.
  Contradicted,
};

/// Tells a backend server that fails from one that can't be reached well from
/// here. Other proxies try it with requests of this one; a sequential test
/// compares "it fails there as it does here" with "it is well there".
class second_opinions {
public:
  /// How things stand with a backend server that fails from here in
  /// \p FailingShare of its work. Begins to ask when that was not done yet.
  opinion_verdict verdict(std::string_view Server, double FailingShare,
                          steady_time Now);

  /// A backend server that another proxy should try now.
  std::optional<endpoint_text> due(steady_time Now) const;

  /// A request is on its way to another proxy for that.
  void onAsked(std::string_view Server, steady_time Now);
  /// What the other proxy found.
  void note(std::string_view Server, bool Good);
  /// There is no other proxy that could be asked.
  void nobodyToAsk(std::string_view Server);

  /// Forgets those that are not among the failing ones any more.
  void keepOnly(std::span<const endpoint_text> Failing, steady_time Now);

private:
  struct inquiry {
    steady_time Since;
    /// When another proxy was last asked.
    steady_time LastAsked;
    steady_time NextAsk;
    double FailingShare = 1;
    /// Log likelihood ratio of "fails there too" against "is well there".
    double Sum = 0;
    opinion_verdict Verdict = opinion_verdict::Open;
  };

  inquiry *find(std::string_view Server);

  std::map<endpoint_text, inquiry, std::less<>> Inquiries;
};

} // namespace endiverail

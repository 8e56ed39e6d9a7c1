#pragma once

#include "base/text.h"
#include "base/time.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace endiverail {

/// Tells which organisations use more than their share of a service's room,
/// from the requests that this process has started lately. The load that it
/// answers: one organisation sends many times its usual while the servers can
/// only just serve the others.
class organisation_shares {
public:
  /// Records the start of a request. Shares are in proportion to the weights of
  /// the organisations that have started requests lately.
  void recordStart(std::string_view Organisation, double Weight,
                   steady_time Now);

  /// Whether the organisation has started clearly more than its share of the
  /// recent requests. Requests of no organisation have no share to exceed.
  bool exceedsShare(std::string_view Organisation, double Weight,
                    steady_time Now) const;

  /// Rate at which requests of the organisation have started lately.
  double startsPerSecond(std::string_view Organisation, steady_time Now) const;

private:
  struct recent_use {
    double Starts = 0;
    double Weight = 1;
    steady_time UpdatedAt;

    double startsAt(steady_time Now) const;
  };

  std::unordered_map<std::string, recent_use, text_hash, std::equal_to<>>
      Organisations;
  double StartsPerWeight = 0;
};

} // namespace endiverail

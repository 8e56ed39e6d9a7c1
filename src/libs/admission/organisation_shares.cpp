#include "admission/organisation_shares.h"

#include <cmath>
#include <numeric>

namespace endiverail {
namespace {

/// Time after which a start counts 1/e.
constexpr std::chrono::duration<double> Memory{2};
/// Uses below this count are forgotten.
constexpr double MinStarts = 0.05;
/// Requests come in irregular intervals, so that a share is exceeded clearly
/// only beyond this factor and one request more.
constexpr double Tolerance = 1.5;

} // namespace

double organisation_shares::recent_use::startsAt(steady_time Now) const {
  return Starts *
         std::exp(-std::chrono::duration<double>(Now - UpdatedAt) / Memory);
}

void organisation_shares::recordStart(std::string_view Organisation,
                                      double Weight, steady_time Now) {
  if (Organisation.empty())
    return;
  recent_use &Use = Organisations[std::string(Organisation)];
  Use = {Use.startsAt(Now) + 1, Weight, Now};
  std::erase_if(Organisations, [&](const auto &Each) {
    return Each.second.startsAt(Now) < MinStarts;
  });
  auto SumOf = [&](auto Value) {
    return std::transform_reduce(
        Organisations.begin(), Organisations.end(), 0.0, std::plus{},
        [&](const auto &Each) { return Value(Each.second); });
  };
  StartsPerWeight =
      SumOf([&](const recent_use &Each) { return Each.startsAt(Now); }) /
      SumOf([](const recent_use &Each) { return Each.Weight; });
}

bool organisation_shares::exceedsShare(std::string_view Organisation,
                                       double Weight, steady_time Now) const {
  auto Found = Organisations.find(Organisation);
  return Found != Organisations.end() &&
         Found->second.startsAt(Now) > Tolerance * StartsPerWeight * Weight + 1;
}

double organisation_shares::startsPerSecond(std::string_view Organisation,
                                            steady_time Now) const {
  auto Found = Organisations.find(Organisation);
  return Found == Organisations.end()
             ? 0.0
             : Found->second.startsAt(Now) / Memory.count();
}

} // namespace endiverail

#include "process/server_belief.h"

#include <algorithm>
#include <cmath>

namespace endiverail {
namespace {

/// Bounds that let a belief change its mind after a few answers.
constexpr double LeastSick = 0.002;
constexpr double MostSick = 0.995;
/// Ratio for a good answer to a request that was known to be accepted.
constexpr double AnswerRatio = 0.6;
/// Ratio for an error after the usual work.
constexpr double ErrorRatio = 4;

double seconds(milliseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

double server_belief::longTermShare() const {
  return seconds(Terms.MeanSick) /
         (seconds(Terms.MeanSick) + seconds(Terms.MeanWell));
}

double server_belief::sick(steady_time Now) const {
  if (Updated == steady_time{})
    return Sick;
  double Elapsed =
      std::max(0.0, std::chrono::duration<double>(Now - Updated).count());
  double Rate = 1 / seconds(Terms.MeanSick) + 1 / seconds(Terms.MeanWell);
  double Share = longTermShare();
  return Share + (Sick - Share) * std::exp(-Rate * Elapsed);
}

void server_belief::update(double LikelihoodRatio, steady_time Now) {
  double Prior = sick(Now);
  double Odds = Prior / (1 - Prior) * LikelihoodRatio;
  Sick = std::clamp(Odds / (1 + Odds), LeastSick, MostSick);
  Updated = Now;
}

void server_belief::observe(bool Failed, steady_time Now) {
  update(Failed ? Terms.WhenSick / Terms.WhenWell
                : (1 - Terms.WhenSick) / (1 - Terms.WhenWell),
         Now);
}

void server_belief::observeAnswer(steady_time Now) { update(AnswerRatio, Now); }

void server_belief::observeError(steady_time Now) { update(ErrorRatio, Now); }

} // namespace endiverail

#include "standin/backend_model.h"

namespace endiverail {
namespace {

constexpr int SlowFactor = 10;
constexpr int ColdFactor = 4;

} // namespace

void backend_model::restart(steady_time Now) {
  ++Deaths;
  InUse = 0;
  DownUntil = Now + Settings.RestartTime;
  ColdUntil = DownUntil + Settings.ColdTime;
}

bool backend_model::isHit(const backend_request &Request) {
  if (Current.Fault == backend_fault::None)
    return false;
  if (!Current.Proxy.empty() &&
      !Request.Attempt.starts_with(Current.Proxy + "."))
    return false;
  std::uniform_real_distribution<double> Share(0, 1);
  return Share(Random) < Current.Share;
}

backend_decision backend_model::onRequest(const backend_request &Request,
                                          steady_time Now) {
  if (isDown(Now))
    return {backend_verdict::Break, milliseconds(0), false};
  // Gray failures: probes are answered whatever real work meets.
  if (Request.IsHealthProbe)
    return {backend_verdict::Answer, milliseconds(0), false};
  if (InUse >= Settings.Slots)
    return {backend_verdict::Shed, milliseconds(0), false};
  ++Started;
  if (Request.Kills) {
    restart(Now);
    return {backend_verdict::Break, milliseconds(0), false};
  }
  ++InUse;
  std::uniform_real_distribution<double> Spread(0.7, 1.3);
  bool Hit = isHit(Request);
  backend_decision Decision;
  Decision.HoldsSlot = true;
  Decision.After = std::chrono::duration_cast<milliseconds>(
      Settings.ServiceTime * Spread(Random) *
      (Now < ColdUntil ? ColdFactor : 1));
  if (!Hit)
    return Decision;
  switch (Current.Fault) {
  case backend_fault::None:
    break;
  case backend_fault::Hang:
    Decision.Verdict = Current.Proxy.empty() ? backend_verdict::Silence
                                             : backend_verdict::Lose;
    break;
  case backend_fault::Error:
    Decision.Verdict = backend_verdict::AnswerError;
    break;
  case backend_fault::Slow:
    Decision.After *= SlowFactor;
    break;
  case backend_fault::Cut:
    Decision.Verdict = backend_verdict::AnswerCut;
    break;
  case backend_fault::Foreign:
    Decision.Verdict = backend_verdict::AnswerForeign;
    break;
  case backend_fault::Down:
    --InUse;
    return {backend_verdict::Break, milliseconds(0), false};
  }
  return Decision;
}

} // namespace endiverail

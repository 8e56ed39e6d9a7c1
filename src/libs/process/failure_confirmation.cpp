#include "process/failure_confirmation.h"

#include <algorithm>
#include <cmath>

namespace endiverail {
namespace {

constexpr milliseconds TryInterval{50};
/// If no other proxy could try the backend server for NoPeerTimeout, or there
/// is no clear result after MaxInquiryTime, this proxy's own results decide.
constexpr milliseconds NoPeerTimeout{1'500};
constexpr milliseconds MaxInquiryTime{6'000};
/// Lifetime of a contradiction; the fleet keeps a path fault for the same time.
constexpr milliseconds ContradictionLifetime{30'000};
constexpr double ConfirmationThreshold = 2;
constexpr double ContradictionThreshold = -5;
constexpr double HealthyFailingShare = 0.01;
constexpr double MinFailingShare = 0.2;
constexpr double MaxFailingShare = 0.95;

} // namespace

failure_confirmation::inquiry *
failure_confirmation::find(std::string_view Server) {
  auto Found = Inquiries.find(Server);
  return Found == Inquiries.end() ? nullptr : &Found->second;
}

opinion_verdict failure_confirmation::verdict(std::string_view Server,
                                              double FailingShare,
                                              steady_time Now) {
  auto [Found, Added] = Inquiries.try_emplace(endpoint_text(Server));
  inquiry &Inquiry = Found->second;
  if (Added) {
    Inquiry.Since = Inquiry.LastTried = Inquiry.NextTry = Now;
    Inquiry.FailingShare =
        std::clamp(FailingShare, MinFailingShare, MaxFailingShare);
  }
  bool TimedOut = Now - Inquiry.LastTried >= NoPeerTimeout ||
                  Now - Inquiry.Since >= MaxInquiryTime;
  if (Inquiry.Verdict == opinion_verdict::Open && TimedOut)
    Inquiry.Verdict = opinion_verdict::Confirmed;
  return Inquiry.Verdict;
}

std::optional<endpoint_text>
failure_confirmation::nextServerToTry(steady_time Now) const {
  auto Next = std::ranges::find_if(Inquiries, [&](const auto &Entry) {
    return Entry.second.Verdict == opinion_verdict::Open &&
           Now >= Entry.second.NextTry;
  });
  return Next == Inquiries.end() ? std::nullopt : std::optional(Next->first);
}

void failure_confirmation::onTryStarted(std::string_view Server,
                                        steady_time Now) {
  inquiry *Inquiry = find(Server);
  if (!Inquiry)
    return;
  Inquiry->LastTried = Now;
  Inquiry->NextTry = Now + TryInterval;
}

void failure_confirmation::addResult(std::string_view Server, bool Succeeded) {
  inquiry *Inquiry = find(Server);
  if (!Inquiry || Inquiry->Verdict != opinion_verdict::Open)
    return;
  double Share = Inquiry->FailingShare;
  Inquiry->LogLikelihoodRatio +=
      Succeeded ? std::log((1 - Share) / (1 - HealthyFailingShare))
                : std::log(Share / HealthyFailingShare);
  if (Inquiry->LogLikelihoodRatio >= ConfirmationThreshold)
    Inquiry->Verdict = opinion_verdict::Confirmed;
  else if (Inquiry->LogLikelihoodRatio <= ContradictionThreshold)
    Inquiry->Verdict = opinion_verdict::Contradicted;
}

void failure_confirmation::onNoPeerAvailable(std::string_view Server,
                                             steady_time Now) {
  if (inquiry *Inquiry = find(Server))
    Inquiry->NextTry = Now + TryInterval;
}

void failure_confirmation::retainOnly(std::span<const endpoint_text> Failing,
                                      steady_time Now) {
  std::erase_if(Inquiries, [&](const auto &Entry) {
    const inquiry &Inquiry = Entry.second;
    bool StillHolds = Inquiry.Verdict == opinion_verdict::Contradicted &&
                      Now - Inquiry.Since < ContradictionLifetime;
    return !StillHolds &&
           std::ranges::find(Failing, Entry.first) == Failing.end();
  });
}

} // namespace endiverail

#include "process/second_opinions.h"

#include <algorithm>
#include <cmath>

namespace endiverail {
namespace {

constexpr milliseconds AskPause{50};
/// When nobody could be asked for this long, or nothing is clear after the
/// longer time, the evidence from here has to do.
constexpr milliseconds Patience{1'500};
constexpr milliseconds LongestInquiry{6'000};
/// How long a contradiction holds, as long as the fleet remembers it.
constexpr milliseconds ContradictionLasts{30'000};
constexpr double ConfirmedFrom = 2;
constexpr double ContradictedBelow = -5;
constexpr double HealthyShare = 0.01;
constexpr double LeastFailingShare = 0.2;
constexpr double MostFailingShare = 0.95;

} // namespace

second_opinions::inquiry *second_opinions::find(std::string_view Server) {
  auto Found = Inquiries.find(Server);
  return Found == Inquiries.end() ? nullptr : &Found->second;
}

opinion_verdict second_opinions::verdict(std::string_view Server,
                                         double FailingShare, steady_time Now) {
  auto [Found, Added] = Inquiries.try_emplace(endpoint_text(Server));
  inquiry &Inquiry = Found->second;
  if (Added) {
    Inquiry.Since = Inquiry.LastAsked = Inquiry.NextAsk = Now;
    Inquiry.FailingShare =
        std::clamp(FailingShare, LeastFailingShare, MostFailingShare);
  }
  bool GivenUp = Now - Inquiry.LastAsked >= Patience ||
                 Now - Inquiry.Since >= LongestInquiry;
  if (Inquiry.Verdict == opinion_verdict::Open && GivenUp)
    Inquiry.Verdict = opinion_verdict::Confirmed;
  return Inquiry.Verdict;
}

std::optional<endpoint_text> second_opinions::due(steady_time Now) const {
  auto Due = std::ranges::find_if(Inquiries, [&](const auto &Entry) {
    return Entry.second.Verdict == opinion_verdict::Open &&
           Now >= Entry.second.NextAsk;
  });
  return Due == Inquiries.end() ? std::nullopt : std::optional(Due->first);
}

void second_opinions::onAsked(std::string_view Server, steady_time Now) {
  inquiry *Inquiry = find(Server);
  if (!Inquiry)
    return;
  Inquiry->LastAsked = Now;
  Inquiry->NextAsk = Now + AskPause;
}

void second_opinions::note(std::string_view Server, bool Good) {
  inquiry *Inquiry = find(Server);
  if (!Inquiry || Inquiry->Verdict != opinion_verdict::Open)
    return;
  double Share = Inquiry->FailingShare;
  Inquiry->Sum += Good ? std::log((1 - Share) / (1 - HealthyShare))
                       : std::log(Share / HealthyShare);
  if (Inquiry->Sum >= ConfirmedFrom)
    Inquiry->Verdict = opinion_verdict::Confirmed;
  else if (Inquiry->Sum <= ContradictedBelow)
    Inquiry->Verdict = opinion_verdict::Contradicted;
}

void second_opinions::nobodyToAsk(std::string_view Server) {
  if (inquiry *Inquiry = find(Server))
    Inquiry->Verdict = opinion_verdict::Confirmed;
}

void second_opinions::keepOnly(std::span<const endpoint_text> Failing,
                               steady_time Now) {
  std::erase_if(Inquiries, [&](const auto &Entry) {
    const inquiry &Inquiry = Entry.second;
    bool StillHolds = Inquiry.Verdict == opinion_verdict::Contradicted &&
                      Now - Inquiry.Since < ContradictionLasts;
    return !StillHolds &&
           std::ranges::find(Failing, Entry.first) == Failing.end();
  });
}

} // namespace endiverail

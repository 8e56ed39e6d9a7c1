// The quotas of organisations, as far as the control thread takes part in them.

#include "process/store_control_state.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>
#include <utility>

namespace endiverail {
namespace {

/// Organisations in one datagram, at most.
constexpr std::size_t OrganisationsPerDatagram = 100;

/// Calls \p Send with each part of \p Items that fits a datagram.
template <typename Item, typename Sender>
void forEachPart(std::span<const Item> Items, Sender &&Send) {
  while (!Items.empty()) {
    auto Part = Items.first(std::min(Items.size(), OrganisationsPerDatagram));
    Items = Items.subspan(Part.size());
    Send(std::vector<Item>(Part.begin(), Part.end()));
  }
}

std::vector<std::string> idsOf(std::span<const proxy_member> Members) {
  std::vector<std::string> Ids;
  std::ranges::transform(Members, std::back_inserter(Ids), &proxy_member::Id);
  return Ids;
}

} // namespace

void store_control_state::updateQuotaMembers(steady_time Now) {
  Quota.setMembers(idsOf(PublishedMembers), idsOf(Members.deadMembers()), Now);
}

void store_control_state::reportQuotaUse(const quota_report &Report,
                                         steady_time Now,
                                         store_control_actions &Out) {
  for (addressed_report &Part : Quota.route(Report)) {
    if (Part.Coordinator == Settings.Self.Id) {
      Out.emplace_back(notify_traffic_threads{
          quota_shares{countQuotaUse(Settings.Self.Id, Part.Report, Now)}});
      announceQuotaShares(Now, Out);
      continue;
    }
    auto Member = std::ranges::find(PublishedMembers, Part.Coordinator,
                                    &proxy_member::Id);
    if (Member == PublishedMembers.end())
      continue;
    forEachPart(std::span<const quota_use>(Part.Report.Uses),
                [&](std::vector<quota_use> Uses) {
                  peer_message Message;
                  Message.Gossip.SenderAddress = Settings.Self.Address;
                  Message.QuotaReport = quota_report{
                      Report.Incarnation, Report.Uptime, std::move(Uses)};
                  sendNews(std::move(Message), {Member->Address}, Now, Out);
                });
  }
}

std::vector<quota_share> store_control_state::countQuotaUse(
    std::string_view Process, const quota_report &Report, steady_time Now) {
  if (!Configuration || !Configuration->Organisations)
    return {};
  return Quota.count(Process, Report, *Configuration->Organisations, Now);
}

void store_control_state::onQuotaMessage(const peer_message &Message,
                                         steady_time Now,
                                         store_control_actions &Out) {
  if (!Message.QuotaShares.empty())
    Out.emplace_back(notify_traffic_threads{quota_shares{Message.QuotaShares}});
  if (!Message.QuotaReport)
    return;
  peer_message Answer;
  Answer.QuotaShares =
      countQuotaUse(Message.Gossip.SenderId, *Message.QuotaReport, Now);
  if (!Answer.QuotaShares.empty())
    sendNews(std::move(Answer), {Message.Gossip.SenderAddress}, Now, Out);
  announceQuotaShares(Now, Out);
}

void store_control_state::announceQuotaShares(steady_time Now,
                                              store_control_actions &Out) {
  auto Due = Quota.nextWake();
  if (!Due || Now < *Due || !Configuration || !Configuration->Organisations)
    return;
  auto Shares = Quota.takeAnnouncements(*Configuration->Organisations, Now);
  forEachPart(std::span<const quota_share>(Shares),
              [&](std::vector<quota_share> Part) {
                Out.emplace_back(notify_traffic_threads{quota_shares{Part}});
                peer_message Message;
                Message.QuotaShares = std::move(Part);
                sendNews(std::move(Message), aliveAndLostPeers(), Now, Out);
              });
}

} // namespace endiverail

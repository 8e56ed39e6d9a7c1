#include "quota/fleet_quota.h"

#include "base/hash.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace endiverail {

std::string_view quotaCoordinator(std::string_view Organisation,
                                  std::span<const std::string> Members) {
  return *std::ranges::max_element(Members, {}, [&](const std::string &Member) {
    return stableHash(Member, Organisation);
  });
}

void fleet_quota::setMembers(std::vector<std::string> PresentMembers,
                             std::span<const std::string> LostMembers,
                             steady_time Now) {
  Present = std::move(PresentMembers);
  if (std::ranges::find(Present, SelfId) == Present.end())
    Present.push_back(SelfId);
  std::erase_if(Lost, [&](const auto &Entry) {
    return std::ranges::find(LostMembers, Entry.first) == LostMembers.end();
  });
  for (const std::string &Member : LostMembers)
    Lost.try_emplace(Member, Now);
}

std::vector<addressed_report>
fleet_quota::route(const quota_report &Report) const {
  std::vector<addressed_report> Parts;
  for (const quota_use &Use : Report.Uses) {
    std::string_view Coordinator = quotaCoordinator(Use.Organisation, Present);
    auto Part =
        std::ranges::find(Parts, Coordinator, &addressed_report::Coordinator);
    if (Part == Parts.end())
      Part =
          Parts.insert(Parts.end(), {std::string(Coordinator),
                                     {Report.Incarnation, Report.Uptime, {}}});
    Part->Report.Uses.push_back(Use);
  }
  return Parts;
}

quota_fleet fleet_quota::fleet(steady_time Now) const {
  auto RecentlyLost =
      std::ranges::count_if(Lost | std::views::values, [&](steady_time Since) {
        return Now < Since + LostLifetime;
      });
  auto Heard = static_cast<double>(Present.size());
  return {Present.size(), Heard / (Heard + static_cast<double>(RecentlyLost))};
}

} // namespace endiverail

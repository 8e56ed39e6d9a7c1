#include "process/standing_reports.h"

#include <algorithm>

namespace endiverail {
namespace {

constexpr milliseconds ReportLasts{3'000};
/// Suspicion from which a backend server counts as failing.
constexpr double FailingFrom = 0.5;

bool isFailing(const server_status &Server) {
  return Server.Suspicion >= FailingFrom ||
         Server.Standing == server_standing::Ejected;
}

} // namespace

void standing_reports::expire(steady_time Now) {
  std::erase_if(Latest, [&](const auto &Entry) {
    return Now - Entry.second.At > ReportLasts;
  });
}

std::size_t standing_reports::warming(std::string_view Service) const {
  auto Found = Latest.find(Service);
  if (Found == Latest.end())
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count(Found->second.Report.Servers, server_standing::Warming,
                         &server_status::Standing));
}

standing_reports::failing_count standing_reports::failing() const {
  failing_count Count;
  for (const service_status_report &Report : all()) {
    Count.All += Report.Servers.size();
    Count.Failing += static_cast<std::size_t>(
        std::ranges::count_if(Report.Servers, isFailing));
  }
  return Count;
}

} // namespace endiverail

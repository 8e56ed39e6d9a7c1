#include "process/status_reports.h"

#include <algorithm>

namespace endiverail {
namespace {

constexpr milliseconds ReportLifetime{3'000};
/// Suspicion at or above which a backend server counts as failing.
constexpr double FailingThreshold = 0.5;

bool isFailing(const server_status &Server) {
  return Server.Suspicion >= FailingThreshold ||
         Server.Standing == server_standing::Ejected;
}

} // namespace

void status_reports::expire(steady_time Now) {
  std::erase_if(Latest, [&](const auto &Entry) {
    return Now - Entry.second.ReceivedAt > ReportLifetime;
  });
}

std::size_t status_reports::warming(std::string_view Service) const {
  auto Found = Latest.find(Service);
  if (Found == Latest.end())
    return 0;
  return static_cast<std::size_t>(
      std::ranges::count(Found->second.Report.Servers, server_standing::Warming,
                         &server_status::Standing));
}

status_reports::failing_count status_reports::failing() const {
  failing_count Count;
  for (const service_status_report &Report : all()) {
    Count.All += Report.Servers.size();
    Count.Failing += static_cast<std::size_t>(
        std::ranges::count_if(Report.Servers, isFailing));
  }
  return Count;
}

} // namespace endiverail

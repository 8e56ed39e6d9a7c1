#include "load/floor_watch.h"

#include "http/blocking_client.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <thread>

namespace endiverail {
namespace {

using nlohmann::json;

constexpr milliseconds SamplePause{500};
constexpr milliseconds FetchTimeout{300};

service_sample &sampleOf(std::vector<service_sample> &Sample,
                         std::string_view Service) {
  auto Found = std::ranges::find(Sample, Service, &service_sample::Service);
  if (Found != Sample.end())
    return *Found;
  return Sample.emplace_back(
      service_sample{std::string(Service), SIZE_MAX, 0, {}});
}

void noteEjected(service_sample &Sample, const std::string &Server) {
  auto At = std::ranges::lower_bound(Sample.Ejected, Server);
  if (At == Sample.Ejected.end() || *At != Server)
    Sample.Ejected.insert(At, Server);
}

} // namespace

floor_row &floor_watch::rowOf(const service_sample &Sample) {
  auto Found = std::ranges::find(Rows, Sample.Service, &floor_row::Service);
  if (Found != Rows.end())
    return *Found;
  return Rows.emplace_back(floor_row{
      Sample.Service, 0, 0, static_cast<std::ptrdiff_t>(Sample.PoolSize)});
}

void floor_watch::note(std::span<const service_sample> Sample) {
  for (const service_sample &Now : Sample) {
    auto Before =
        std::ranges::find(Last, Now.Service, &service_sample::Service);
    if (Before == Last.end())
      continue;
    std::vector<endpoint_text> Together;
    std::ranges::set_intersection(Before->Ejected, Now.Ejected,
                                  std::back_inserter(Together));
    std::size_t Floor = std::min(Before->Floor, Now.Floor);
    floor_row &Row = rowOf(Now);
    ++Row.Samples;
    Row.MostEjected = std::max(Row.MostEjected, Together.size());
    auto Margin = static_cast<std::ptrdiff_t>(Now.PoolSize) -
                  static_cast<std::ptrdiff_t>(Floor + Together.size());
    Row.LeastMargin = std::min(Row.LeastMargin, Margin);
  }
  Last.assign(Sample.begin(), Sample.end());
}

bool floor_watch::clean() const {
  return !Rows.empty() && std::ranges::all_of(Rows, [](const floor_row &Row) {
    return Row.LeastMargin >= 0;
  });
}

std::string floor_watch::table() const {
  std::ostringstream Text;
  for (const floor_row &Row : Rows)
    Text << Row.Service << ": " << Row.MostEjected
         << " ejected at once at most, " << Row.LeastMargin
         << " before the floor at least, in " << Row.Samples << " samples\n";
  return Text.str();
}

result<void> addStatus(std::string_view Status,
                       std::vector<service_sample> &Sample) {
  json Value = json::parse(Status, nullptr, false);
  if (!Value.is_object())
    return fail(error_kind::BadRecord, "this is no daemon's status");
  try {
    for (const json &Entry : Value.at("in_force")) {
      service_sample &Service =
          sampleOf(Sample, Entry.at("service").get<std::string>());
      Service.Floor =
          std::min(Service.Floor, Entry.at("floor").get<std::size_t>());
      Service.PoolSize = Entry.at("pool_size").get<std::size_t>();
    }
    for (const json &Entry : Value.at("servers"))
      if (Entry.at("standing") == "ejected")
        noteEjected(sampleOf(Sample, Entry.at("service").get<std::string>()),
                    Entry.at("server").get<std::string>());
  } catch (const json::exception &Error) {
    return fail(error_kind::BadRecord, Error.what());
  }
  return {};
}

floor_watch watchFloor(std::span<const endpoint_text> Daemons,
                       milliseconds Time) {
  floor_watch Watch;
  for (steady_time End = steadyNow() + Time; steadyNow() < End;) {
    std::vector<service_sample> Sample;
    for (const endpoint_text &Daemon : Daemons)
      handleFailure(
          [&]() -> result<void> {
            BOOST_LEAF_AUTO(Answer, fetch("GET", Daemon, "/endiverail/status",
                                          "", FetchTimeout));
            return addStatus(Answer.Body, Sample);
          },
          // One that is down hands nothing out.
          [](const failure &) {});
    Watch.note(Sample);
    std::this_thread::sleep_for(SamplePause);
  }
  return Watch;
}

} // namespace endiverail

#include "load/load_plan.h"

#include "base/text.h"
#include "files/checked_json.h"
#include "files/host_list_codec.h"

#include <array>

namespace endiverail {
namespace {

constexpr std::array<std::string_view, RankCount> RankWords{"urgent", "normal",
                                                            "background"};

planned_work readWork(checked_object &Object) {
  planned_work Work;
  Work.Service = Object.requiredText("service");
  Work.Name = Object.requiredText("name");
  Work.Method = Object.requiredText("method");
  Work.Target = Object.requiredText("target");
  Work.Rank = AllRanks[Object.requiredWord("rank", RankWords)];
  Work.Idempotent = Object.requiredFlag("idempotent");
  Work.Weight = Object.optionalNumber("weight", 1, {1, 1'000'000});
  Work.AnswerBytes =
      Object.optionalNumber("answer_bytes", 200, {0, 1'000'000'000});
  Work.BodyBytes = Object.optionalNumber("body_bytes", 0, {0, 1'000'000});
  Work.Organisations =
      Object.optionalNumber("organisations", 10, {1, 1'000'000});
  Work.Timeout =
      milliseconds(Object.optionalNumber("timeout_ms", 5'000, {1, 600'000}));
  return Work;
}

load_plan readFields(checked_object &File) {
  load_plan Plan;
  Plan.Daemons = File.texts("daemons", true);
  for (const endpoint_text &Daemon : Plan.Daemons)
    if (!isEndpoint(Daemon))
      File.mistake("daemons", "expected \"a.b.c.d:port\"");
  Plan.Platform = File.requiredText("platform");
  Plan.Rate = File.optionalNumber("rate", Plan.Rate, {1, 1'000'000});
  Plan.Seconds = File.optionalNumber("seconds", Plan.Seconds, {1, 86'400});
  Plan.Seed = File.optionalNumber("seed", Plan.Seed, {});
  Plan.DirectPercent = File.optionalNumber("direct_percent", 0, {0, 50});
  Plan.Resends = File.optionalNumber("resends", Plan.Resends, {0, 100});
  File.objects("work", true, [&](checked_object &Object) {
    Plan.Work.push_back(readWork(Object));
  });
  return Plan;
}

} // namespace

result<load_plan> readLoadPlan(std::string_view FileName,
                               std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

} // namespace endiverail

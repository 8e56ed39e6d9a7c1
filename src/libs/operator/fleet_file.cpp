#include "operator/fleet_file.h"

#include "platform/checked_json.h"
#include "platform/host_list_codec.h"

namespace endiverail {

result<fleet_file> readFleetFile(std::string_view FileName,
                                 std::string_view Text) {
  json_mistakes Mistakes;
  nlohmann::json Value = parseJson(Text, Mistakes);
  fleet_file Fleet;
  if (Mistakes.empty()) {
    checked_object File(Value, "", Mistakes);
    Fleet.LogService = File.requiredText("log_service");
    if (!isEndpoint(Fleet.LogService))
      File.mistake("log_service", "expected \"a.b.c.d:port\"");
    Fleet.Daemons = File.texts("daemons", true);
    for (const endpoint_text &Daemon : Fleet.Daemons)
      if (!isEndpoint(Daemon))
        File.mistake("daemons", "expected \"a.b.c.d:port\"");
    Fleet.CustomerKeys = File.texts("customer_keys", true);
    File.refuseUnknown();
  }
  if (!Mistakes.empty())
    return fail(error_kind::BadSettings, mistakeLines(FileName, Mistakes));
  return Fleet;
}

} // namespace endiverail

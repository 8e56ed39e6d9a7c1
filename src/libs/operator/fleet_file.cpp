#include "operator/fleet_file.h"

#include "base/text.h"
#include "files/checked_json.h"
#include "files/host_list_codec.h"

namespace endiverail {
namespace {

fleet_file readFields(checked_object &File) {
  fleet_file Fleet;
  Fleet.LogService = File.requiredText("log_service");
  if (!isEndpoint(Fleet.LogService))
    File.mistake("log_service", "expected \"a.b.c.d:port\"");
  Fleet.Daemons = File.texts("daemons", true);
  for (const endpoint_text &Daemon : Fleet.Daemons)
    if (!isEndpoint(Daemon))
      File.mistake("daemons", "expected \"a.b.c.d:port\"");
  Fleet.CustomerKeys = File.texts("customer_keys", true);
  return Fleet;
}

} // namespace

result<fleet_file> readFleetFile(std::string_view FileName,
                                 std::string_view Text) {
  return readCheckedFile(FileName, Text, error_kind::BadSettings, readFields);
}

} // namespace endiverail

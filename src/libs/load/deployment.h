#pragma once

#include "base/error_kind.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A file of a deployment and its content.
struct deployment_file {
  /// Path within the deployment's folder.
  std::string Name;
  std::string Content;
};

struct deployment_options {
  std::size_t Daemons = 6;
  /// Ports from here on are used, on loopback.
  std::uint16_t FirstPort = 20'000;
  std::uint64_t Rate = 300;
  std::uint64_t Seconds = 8;
};

/// Names of the deployments that the project's users run.
std::vector<std::string> deploymentNames();

/// All files to run a deployment on one machine: service files, settings of
/// the daemons, the stand-in's scenario, the operators' fleet file and a plan
/// of load. Fails with BadSettings for an unknown name.
result<std::vector<deployment_file>>
makeDeployment(std::string_view Name, const deployment_options &Options);

} // namespace endiverail

#pragma once

#include "base/hash.h"
#include "files/service_file.h"
#include "operator/log_client.h"

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Ending of the files that stand beside services' code.
inline constexpr std::string_view ServiceFileEnding = ".service.json";

/// Service files of a folder and all that is wrong in them.
struct checked_folder {
  std::vector<service_file> Files;
  /// A line for each mistake.
  std::vector<std::string> Mistakes;
};

/// Reads all service files below \p Folder.
checked_folder checkFolder(const std::filesystem::path &Folder);

/// Proposes each file that differs from what is in force and from what is
/// proposed already. Returns a line for each service.
result<std::vector<std::string>>
publishFiles(std::span<const service_file> Files,
             const configuration_state &ConfigurationState,
             std::string_view Author, log_client &Log);

/// The pending proposals of a service, or all for an empty name.
std::vector<proposal> pendingFor(const configuration_state &ConfigurationState,
                                 std::string_view Service);

/// The customer's signed consent to a proposal against what is in force.
/// Fails with StaleParent when the proposal starts from something else.
result<acceptance> acceptProposal(const proposal &Proposal,
                                  const configuration_state &ConfigurationState,
                                  const signing_key &Customer);

} // namespace endiverail

#include "operator/publishing.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <map>
#include <ranges>

namespace endiverail {
namespace {

std::string readText(const std::filesystem::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

std::vector<std::filesystem::path>
serviceFilePaths(const std::filesystem::path &Folder) {
  std::vector<std::filesystem::path> Paths;
  std::error_code Error;
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(Folder, Error))
    if (Entry.is_regular_file() &&
        Entry.path().filename().string().ends_with(ServiceFileEnding))
      Paths.push_back(Entry.path());
  std::ranges::sort(Paths);
  return Paths;
}

std::string_view hashInForce(const configuration_state &ConfigurationState,
                             std::string_view Service) {
  auto Found = ConfigurationState.inForce().find(Service);
  return Found == ConfigurationState.inForce().end()
             ? std::string_view{}
             : std::string_view(Found->second.Record.ContentHash);
}

} // namespace

checked_folder checkFolder(const std::filesystem::path &Folder) {
  checked_folder Checked;
  std::map<std::string, std::string> FileOfService;
  for (const std::filesystem::path &Path : serviceFilePaths(Folder))
    handleFailure(
        [&]() -> result<void> {
          BOOST_LEAF_AUTO(File, readServiceFile(Path.string(), readText(Path)));
          auto [Other, Fresh] =
              FileOfService.emplace(File.Definition.Name, Path.string());
          if (!Fresh)
            return fail(error_kind::BadFile,
                        Path.string() +
                            ":/service: the same service stands "
                            "in " +
                            Other->second);
          Checked.Files.push_back(std::move(File));
          return {};
        },
        [&](const failure &Failure) {
          Checked.Mistakes.push_back(Failure.Detail);
        });
  if (Checked.Files.empty() && Checked.Mistakes.empty())
    Checked.Mistakes.push_back(Folder.string() + ": no file ends in " +
                               std::string(ServiceFileEnding));
  return Checked;
}

result<std::vector<std::string>>
publishFiles(std::span<const service_file> Files,
             const configuration_state &ConfigurationState,
             std::string_view Author, log_client &Log) {
  std::vector<std::string> Lines;
  for (const service_file &File : Files) {
    const std::string &Name = File.Definition.Name;
    std::string_view Parent = hashInForce(ConfigurationState, Name);
    bool Proposed = std::ranges::any_of(
        ConfigurationState.pending(), [&](const proposal &Pending) {
          return Pending.Definition.Name == Name &&
                 Pending.ContentHash == File.ContentHash &&
                 Pending.Parent == Parent;
        });
    if (Parent == File.ContentHash || Proposed) {
      Lines.push_back(Name + ": " +
                      (Proposed ? "proposed already" : "in force already"));
      continue;
    }
    proposal Proposal{File.Definition, std::string(Parent), File.ContentHash,
                      File.Content, std::string(Author)};
    BOOST_LEAF_AUTO(Offset, Log.append(Proposal));
    Lines.push_back(Name + ": proposed " + File.ContentHash.substr(0, 12) +
                    " at offset " + std::to_string(Offset));
  }
  return Lines;
}

std::vector<proposal> pendingFor(const configuration_state &ConfigurationState,
                                 std::string_view Service) {
  std::vector<proposal> Found;
  std::ranges::copy_if(ConfigurationState.pending(), std::back_inserter(Found),
                       [&](const proposal &Proposal) {
                         return Service.empty() ||
                                Proposal.Definition.Name == Service;
                       });
  return Found;
}

result<acceptance> acceptProposal(const proposal &Proposal,
                                  const configuration_state &ConfigurationState,
                                  const signing_key &Customer) {
  const std::string &Name = Proposal.Definition.Name;
  if (Proposal.Parent != hashInForce(ConfigurationState, Name))
    return fail(error_kind::StaleParent,
                Name + ": the proposal starts from another content than the "
                       "one in force; publish it again");
  auto Current = ConfigurationState.inForce().find(Name);
  acceptance Record;
  Record.Definition = Proposal.Definition;
  Record.Parent = Proposal.Parent;
  Record.Content = Proposal.Content;
  Record.ContentHash = Proposal.ContentHash;
  Record.Version = Current == ConfigurationState.inForce().end()
                       ? 1
                       : Current->second.Record.Version + 1;
  Record.Signer = Customer.Public;
  BOOST_LEAF_ASSIGN(
      Record.Signature,
      sign(Customer, signedText(Name, Record.Parent, Record.ContentHash,
                                Record.Version)));
  return Record;
}

} // namespace endiverail

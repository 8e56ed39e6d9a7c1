#include "version/configuration_state.h"

#include "base/hash.h"

#include <algorithm>
#include <ranges>

namespace endiverail {
namespace {

/// Limits the memory that proposals of operators can take up in each daemon.
constexpr std::size_t MaxPendingProposals = 256;

} // namespace

std::string signedText(std::string_view Service, std::string_view Parent,
                       std::string_view ContentHash, std::uint64_t Version) {
  std::string Text = "endiverail acceptance 1\n";
  for (std::string_view Part : {Service, Parent, ContentHash})
    Text.append(Part).push_back('\n');
  return Text + std::to_string(Version);
}

result<configuration_state>
configuration_state::create(std::span<const std::string> CustomerKeys) {
  if (CustomerKeys.empty())
    return fail(error_kind::BadSettings,
                "at least one customer key is required");
  configuration_state ConfigurationState;
  ConfigurationState.CustomerKeys.assign(CustomerKeys.begin(),
                                         CustomerKeys.end());
  return ConfigurationState;
}

result<bool> configuration_state::apply(const configuration_record &Record) {
  if (const auto *Acceptance = std::get_if<acceptance>(&Record))
    return applyAcceptance(*Acceptance);
  if (const auto *Proposal = std::get_if<proposal>(&Record))
    applyProposal(*Proposal);
  if (const auto *Rejection = std::get_if<rejection>(&Record))
    dropPending(Rejection->Service, Rejection->ContentHash);
  return false;
}

result<bool> configuration_state::applyAcceptance(const acceptance &Record) {
  const std::string &Name = Record.Definition.Name;
  auto Found = InForce.find(Name);
  const acceptance *Current =
      Found == InForce.end() ? nullptr : &Found->second.Record;

  // Cheap checks come first, as most received copies are already known.
  if (Current && Record.Version <= Current->Version) {
    bool AppendedEarlier = Record.Version == Current->Version &&
                           Record.ContentHash != Current->ContentHash &&
                           Record.FirstOffset < Current->FirstOffset;
    if (!AppendedEarlier)
      return false;
  }
  if (Current && Record.Version == Current->Version + 1 &&
      Record.Parent != Current->ContentHash)
    return fail(error_kind::StaleParent,
                Name + ": the acceptance is based on different content");
  if (sha256Hex(Record.Content) != Record.ContentHash)
    return fail(error_kind::BadRecord,
                Name + ": the content does not match its hash");
  if (std::ranges::find(CustomerKeys, Record.Signer) == CustomerKeys.end() ||
      !verify(
          Record.Signer,
          signedText(Name, Record.Parent, Record.ContentHash, Record.Version),
          Record.Signature))
    return fail(error_kind::BadSignature,
                Name + ": the acceptance is not signed by a customer key");

  auto Service = std::make_shared<accepted_service>(
      accepted_service{Record.Definition, Record.Version, Record.ContentHash});
  InForce.insert_or_assign(Name, accepted_record{Record, std::move(Service)});
  dropPending(Name, Record.ContentHash);
  return true;
}

void configuration_state::applyProposal(const proposal &Record) {
  auto Known = InForce.find(Record.Definition.Name);
  if (Known != InForce.end() &&
      Known->second.Record.ContentHash == Record.ContentHash)
    return;
  dropPending(Record.Definition.Name, Record.ContentHash);
  if (Pending.size() == MaxPendingProposals)
    Pending.erase(Pending.begin());
  Pending.push_back(Record);
}

void configuration_state::dropPending(std::string_view Service,
                                      std::string_view ContentHash) {
  std::erase_if(Pending, [&](const proposal &Proposal) {
    return Proposal.Definition.Name == Service &&
           Proposal.ContentHash == ContentHash;
  });
}

configuration configuration_state::configurationInForce() const {
  std::vector<accepted_service_ref> Services;
  Services.reserve(InForce.size());
  for (const accepted_record &Accepted : InForce | std::views::values)
    Services.push_back(Accepted.Service);
  return configuration::build(Services);
}

std::uint64_t configuration_state::digest() const {
  std::uint64_t Digest = 0;
  for (const accepted_record &Accepted : InForce | std::views::values)
    Digest ^= stableHash(Accepted.Record.ContentHash,
                         std::to_string(Accepted.Record.Version) +
                             Accepted.Record.Definition.Name);
  return Digest;
}

} // namespace endiverail

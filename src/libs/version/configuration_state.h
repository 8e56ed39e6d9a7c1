#pragma once

#include "version/configuration.h"
#include "version/record.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// An acceptance in force with what is needed to pass it on.
struct accepted_record {
  acceptance Record;
  accepted_service_ref Service;
};

/// Folds configuration records, in offset order or from peers in any order,
/// into what is in force. It trusts only the customer's keys: neither an
/// operator, a peer nor the log can put in force what was not signed.
class configuration_state {
public:
  /// \p CustomerKeys are the public keys whose signatures count. Fails with
  /// BadSettings when there are none.
  static result<configuration_state>
  create(std::span<const std::string> CustomerKeys);

  /// Applies one record. Returns whether what is in force has changed. Fails
  /// with BadSignature, BadRecord or StaleParent, and then changes nothing.
  result<bool> apply(const configuration_record &Record);

  /// What is in force, by service name.
  const std::map<std::string, accepted_record, std::less<>> &inForce() const {
    return InForce;
  }

  /// Proposals that are neither accepted nor rejected, oldest first.
  std::span<const proposal> pending() const { return Pending; }

  configuration configurationInForce() const;

  /// Digest of what is in force, alike on two proxies that agree.
  std::uint64_t digest() const;

private:
  result<bool> applyAcceptance(const acceptance &Record);
  void applyProposal(const proposal &Record);
  void dropPending(std::string_view Service, std::string_view ContentHash);

  std::vector<std::string> CustomerKeys;
  std::map<std::string, accepted_record, std::less<>> InForce;
  std::vector<proposal> Pending;
};

} // namespace endiverail

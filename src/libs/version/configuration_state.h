#pragma once

#include "version/configuration.h"
#include "version/record.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// An acceptance in force, together with the service that it defines. The
/// record is kept so that it can be passed on to peers.
struct accepted_record {
  acceptance Record;
  accepted_service_ref Service;
};

/// Computes the configuration in force from configuration records, which may
/// come from the log in offset order or from peers in any order. Only
/// signatures by the customer's keys are trusted: neither operators, peers nor
/// the log can put an unsigned change in force.
class configuration_state {
public:
  /// \p CustomerKeys are the trusted public keys. Fails with BadSettings if
  /// there are none.
  static result<configuration_state>
  create(std::span<const std::string> CustomerKeys);

  /// Applies one record. Returns whether the configuration in force has
  /// changed. Fails with BadSignature, BadRecord or StaleParent, in which case
  /// the state remains unchanged.
  result<bool> apply(const configuration_record &Record);

  /// Returns the acceptances in force by service name.
  const std::map<std::string, accepted_record, std::less<>> &inForce() const {
    return InForce;
  }

  /// Returns proposals that are neither accepted nor rejected, oldest first.
  std::span<const proposal> pending() const { return Pending; }

  configuration configurationInForce() const;

  /// Returns a digest of the configuration in force. It is equal on proxies
  /// that have the same configuration.
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

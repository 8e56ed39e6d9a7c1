#pragma once

#include "version/service_definition.h"

#include <cstdint>
#include <string>
#include <variant>

namespace endiverail {

/// An operator's proposal to change the definition of one service.
struct proposal {
  service_definition Definition;
  /// Hash of the content that the change is based on; empty for a new service.
  std::string Parent;
  std::string ContentHash;
  /// The canonical JSON text of the file.
  std::string Content;
  std::string Author;
};

/// The customer's signed acceptance of a proposal. It contains the complete
/// content, so it can be applied without the proposal.
struct acceptance {
  service_definition Definition;
  std::string Parent;
  std::string ContentHash;
  std::string Content;
  std::uint64_t Version = 0;
  /// Public key of the customer in hexadecimal.
  std::string Signer;
  std::string Signature;
  /// Log offset of the first copy. Copies that are appended again keep it.
  std::uint64_t FirstOffset = 0;
  /// True for a copy that a daemon has appended again.
  bool Refresh = false;
};

/// The customer's rejection of a proposal, with a human-readable reason.
struct rejection {
  std::string Service;
  std::string ContentHash;
  std::string Reason;
};

using configuration_record = std::variant<proposal, acceptance, rejection>;

/// Returns the text that is signed by an acceptance.
std::string signedText(std::string_view Service, std::string_view Parent,
                       std::string_view ContentHash, std::uint64_t Version);

} // namespace endiverail

#pragma once

#include "version/service_definition.h"

#include <cstdint>
#include <string>
#include <variant>

namespace endiverail {

/// An operator's wish to change one service's file.
struct proposal {
  service_definition Definition;
  /// Hash of the content that the change starts from; empty for a new service.
  std::string Parent;
  std::string ContentHash;
  /// The canonical JSON text of the file.
  std::string Content;
  std::string Author;
};

/// The customer's signed consent to a proposal. It carries the content, so it
/// can be put in force without the proposal.
struct acceptance {
  service_definition Definition;
  std::string Parent;
  std::string ContentHash;
  std::string Content;
  std::uint64_t Version = 0;
  /// Public key of the customer, hexadecimal.
  std::string Signer;
  std::string Signature;
  /// Offset of the first copy on the log. A refresh carries it on.
  std::uint64_t FirstOffset = 0;
  /// True for a copy that a daemon appended again.
  bool Refresh = false;
};

/// The customer's refusal of a proposal, for people to read.
struct rejection {
  std::string Service;
  std::string ContentHash;
  std::string Reason;
};

using configuration_record = std::variant<proposal, acceptance, rejection>;

/// The text that an acceptance's signature covers.
std::string signedText(std::string_view Service, std::string_view Parent,
                       std::string_view ContentHash, std::uint64_t Version);

} // namespace endiverail

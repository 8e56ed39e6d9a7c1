#pragma once

#include "base/hash.h"
#include "failure_check.h"
#include "version/record.h"

#include <string>

namespace endiverail::test {

/// Creates an acceptance like the customer's command line tool.
inline acceptance
signedAcceptance(const signing_key &Key, const std::string &Service,
                 const std::string &Content, std::string_view Parent,
                 std::uint64_t Version, std::uint64_t Offset = 0) {
  acceptance Record;
  Record.Definition.Name = Service;
  Record.Content = Content;
  Record.ContentHash = sha256Hex(Content);
  Record.Parent = Parent;
  Record.Version = Version;
  Record.Signer = Key.Public;
  Record.FirstOffset = Offset;
  Record.Signature = valueOf(
      sign(Key, signedText(Service, Parent, Record.ContentHash, Version)));
  return Record;
}

} // namespace endiverail::test

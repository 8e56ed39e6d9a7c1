#pragma once

#include "base/error_kind.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Lower-case hexadecimal of \p Bytes.
std::string toHex(std::span<const std::uint8_t> Bytes);

/// Bytes of a hexadecimal text; empty when \p Text is not hexadecimal.
std::string fromHex(std::string_view Text);

/// SHA-256 as lower-case hexadecimal.
std::string sha256Hex(std::string_view Data);

/// HMAC-SHA-256, 32 bytes.
std::string hmacSha256(std::string_view Key, std::string_view Data);

/// Compares without a data-dependent run time.
bool equalConstantTime(std::string_view Left, std::string_view Right);

/// Stable 64-bit hash, alike on every host, for rendezvous choices.
std::uint64_t stableHash(std::string_view First, std::string_view Second = {});

/// Combines two stable hashes into one.
constexpr std::uint64_t mixHashes(std::uint64_t First, std::uint64_t Second) {
  std::uint64_t Hash = First ^ (Second * 0x9e3779b97f4a7c15ULL);
  Hash ^= Hash >> 33;
  Hash *= 0xff51afd7ed558ccdULL;
  Hash ^= Hash >> 33;
  Hash *= 0xc4ceb9fe1a85ec53ULL;
  return Hash ^ (Hash >> 33);
}

/// Ed25519 key pair as hexadecimal texts of 32 bytes each.
struct signing_key {
  std::string Private;
  std::string Public;

  /// A fresh random key pair.
  static result<signing_key> generate();
  /// Restores the pair from the private half.
  static result<signing_key> fromPrivate(std::string_view PrivateHex);
};

/// Ed25519 signature as hexadecimal. Fails with BadSignature on a bad key.
result<std::string> sign(const signing_key &Key, std::string_view Data);

/// Whether \p SignatureHex over \p Data was made with \p PublicHex.
bool verify(std::string_view PublicHex, std::string_view Data,
            std::string_view SignatureHex);

} // namespace endiverail

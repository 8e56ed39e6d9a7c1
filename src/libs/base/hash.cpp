#include "base/hash.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#include <memory>

namespace endiverail {
namespace {

constexpr std::size_t KeyBytes = 32;
constexpr std::size_t SignatureBytes = 64;

struct free_key {
  void operator()(EVP_PKEY *Key) const { EVP_PKEY_free(Key); }
};
struct free_digest {
  void operator()(EVP_MD_CTX *Context) const { EVP_MD_CTX_free(Context); }
};
using key_handle = std::unique_ptr<EVP_PKEY, free_key>;
using digest_handle = std::unique_ptr<EVP_MD_CTX, free_digest>;

const std::uint8_t *bytes(std::string_view Text) {
  return reinterpret_cast<const std::uint8_t *>(Text.data());
}

int hexDigit(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return Digit - '0';
  if (Digit >= 'a' && Digit <= 'f')
    return Digit - 'a' + 10;
  if (Digit >= 'A' && Digit <= 'F')
    return Digit - 'A' + 10;
  return -1;
}

result<signing_key> pairOf(EVP_PKEY *Key) {
  std::array<std::uint8_t, KeyBytes> Private{};
  std::array<std::uint8_t, KeyBytes> Public{};
  std::size_t PrivateSize = Private.size();
  std::size_t PublicSize = Public.size();
  if (EVP_PKEY_get_raw_private_key(Key, Private.data(), &PrivateSize) != 1 ||
      EVP_PKEY_get_raw_public_key(Key, Public.data(), &PublicSize) != 1)
    return fail(error_kind::BadSignature, "the key is not an Ed25519 key");
  return signing_key{toHex(Private), toHex(Public)};
}

key_handle privateHandle(std::string_view PrivateHex) {
  std::string Raw = fromHex(PrivateHex);
  if (Raw.size() != KeyBytes)
    return nullptr;
  return key_handle(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr,
                                                 bytes(Raw), Raw.size()));
}

} // namespace

std::string toHex(std::span<const std::uint8_t> Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (std::uint8_t Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 0xf];
  }
  return Text;
}

std::string fromHex(std::string_view Text) {
  if (Text.size() % 2 != 0)
    return {};
  std::string Bytes;
  Bytes.reserve(Text.size() / 2);
  for (std::size_t At = 0; At < Text.size(); At += 2) {
    int High = hexDigit(Text[At]);
    int Low = hexDigit(Text[At + 1]);
    if (High < 0 || Low < 0)
      return {};
    Bytes += static_cast<char>(High * 16 + Low);
  }
  return Bytes;
}

std::string sha256Hex(std::string_view Data) {
  std::array<std::uint8_t, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(bytes(Data), Data.size(), Digest.data());
  return toHex(Digest);
}

std::string hmacSha256(std::string_view Key, std::string_view Data) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> Digest{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), bytes(Data),
       Data.size(), Digest.data(), &Size);
  return {reinterpret_cast<const char *>(Digest.data()), Size};
}

bool equalConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::uint64_t stableHash(std::string_view First, std::string_view Second) {
  constexpr std::uint64_t Offset = 0xcbf29ce484222325ULL;
  constexpr std::uint64_t Prime = 0x100000001b3ULL;
  std::uint64_t Hash = Offset;
  auto Mix = [&](std::string_view Text) {
    for (unsigned char Byte : Text)
      Hash = (Hash ^ Byte) * Prime;
    Hash = (Hash ^ 0xff) * Prime;
  };
  Mix(First);
  Mix(Second);
  // FNV-1a alone leaves the high bits of short texts alike.
  return mixHashes(Hash, 0);
}

result<signing_key> signing_key::generate() {
  key_handle Key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  if (!Key)
    return fail(error_kind::Internal, "the key generator failed");
  return pairOf(Key.get());
}

result<signing_key> signing_key::fromPrivate(std::string_view PrivateHex) {
  key_handle Key = privateHandle(PrivateHex);
  if (!Key)
    return fail(error_kind::BadSignature,
                "a private key is 64 hexadecimal digits");
  return pairOf(Key.get());
}

result<std::string> sign(const signing_key &Key, std::string_view Data) {
  key_handle Handle = privateHandle(Key.Private);
  digest_handle Context(EVP_MD_CTX_new());
  std::array<std::uint8_t, SignatureBytes> Signature{};
  std::size_t Size = Signature.size();
  if (!Handle ||
      EVP_DigestSignInit(Context.get(), nullptr, nullptr, nullptr,
                         Handle.get()) != 1 ||
      EVP_DigestSign(Context.get(), Signature.data(), &Size, bytes(Data),
                     Data.size()) != 1)
    return fail(error_kind::BadSignature, "signing failed");
  return toHex(Signature);
}

bool verify(std::string_view PublicHex, std::string_view Data,
            std::string_view SignatureHex) {
  std::string Public = fromHex(PublicHex);
  std::string Signature = fromHex(SignatureHex);
  if (Public.size() != KeyBytes || Signature.size() != SignatureBytes)
    return false;
  key_handle Key(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                             bytes(Public), Public.size()));
  digest_handle Context(EVP_MD_CTX_new());
  return Key &&
         EVP_DigestVerifyInit(Context.get(), nullptr, nullptr, nullptr,
                              Key.get()) == 1 &&
         EVP_DigestVerify(Context.get(), bytes(Signature), Signature.size(),
                          bytes(Data), Data.size()) == 1;
}

} // namespace endiverail

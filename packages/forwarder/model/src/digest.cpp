// SHA-256 with OpenSSL, and the epoch of a member set with xxHash.

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

#include "cuminbridge/model.h"

namespace cuminbridge::forwarder {

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 0xFU];
  }
  return hex;
}

std::string
HashKey(std::string_view aClearKey)
{
  return "sha256:" + Sha256Hex(aClearKey);
}

std::uint64_t
HashMembers(const std::vector<Member>& aMembers)
{
  std::string text;
  for (const Member& member : aMembers) {
    text += member.id_ + "#" + std::to_string(member.incarnation_) +
            (member.isVoter_ ? "+\n" : "\n");
  }
  return XXH64(text.data(), text.size(), 0);
}

} // namespace cuminbridge::forwarder

#include "zinniagauge/adapt/digest.h"

#include <openssl/sha.h>

#include <array>

namespace zinniagauge {

std::string sha256Hex(std::string_view text) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(2 * digest.size());
  for (const unsigned char byte : digest) {
    hex.push_back(Digits[byte >> 4U]);
    hex.push_back(Digits[byte & 0xFU]);
  }
  return hex;
}

} // namespace zinniagauge

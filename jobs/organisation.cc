#include "jobs/organisation.h"

#include <stdexcept>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace quartzhoist::jobs {

KeyDigest ComputeKeyDigest(std::string_view key) {
  KeyDigest digest;
  unsigned int length = 0;
  const int made = EVP_Digest(key.data(), key.size(), digest.bytes.data(),
                              &length, EVP_sha256(), nullptr);
  if (made != 1 || length != KeyDigest::kBytes)
    throw std::runtime_error("SHA-256 is not available");
  return digest;
}

bool DigestsAreEqual(const KeyDigest& a, const KeyDigest& b) {
  return CRYPTO_memcmp(a.bytes.data(), b.bytes.data(), KeyDigest::kBytes) == 0;
}

}  // namespace quartzhoist::jobs

#include "http/digest.h"

#include <array>
#include <cstdint>
#include <memory>

#include <openssl/evp.h>

namespace rattandyke::http {

std::string
Digest(std::initializer_list<std::string_view> aParts)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
    EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : aParts) {
    const uint64_t size = part.size();
    EVP_DigestUpdate(context.get(), &size, sizeof size);
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int length = 0;
  EVP_DigestFinal_ex(context.get(), bytes.data(), &length);
  return { reinterpret_cast<const char*>(bytes.data()), length };
}

} // namespace rattandyke::http

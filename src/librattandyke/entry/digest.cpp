#include "entry/digest.h"

#include <array>
#include <memory>

#include <openssl/evp.h>

namespace rattandyke::entry {

namespace {

std::string
HexOf(const unsigned char* aBytes, size_t aSize)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kBits = 4;
  std::string hex;
  hex.reserve(2 * aSize);
  for (size_t i = 0; i < aSize; ++i) {
    hex.push_back(kDigits[aBytes[i] >> kBits]);
    hex.push_back(kDigits[aBytes[i] & 0xfU]);
  }
  return hex;
}

} // namespace

std::string
DigestOf(std::initializer_list<std::string_view> aParts)
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
  unsigned int size = 0;
  EVP_DigestFinal_ex(context.get(), bytes.data(), &size);
  return HexOf(bytes.data(), size);
}

std::string
FingerprintOf(std::string_view aService,
              std::string_view aCustomer,
              std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody)
{
  return DigestOf({ aService, aCustomer, aMethod, aTarget, aBody });
}

} // namespace rattandyke::entry

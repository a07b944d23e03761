#include "admin/tokens.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace rattandyke::admin {

namespace {

// Safeguard: a comparison that stops at the first difference tells by its time
// how much of a guess was right; this one always looks at every byte.
bool
SameHash(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string hex;
  for (unsigned i = 0; i < size; ++i) {
    hex += kHex[digest[i] >> 4U];
    hex += kHex[digest[i] & 15U];
  }
  return hex;
}

TokenCheck::TokenCheck(std::vector<config::OperatorToken> aTokens)
  : mTokens(std::move(aTokens))
{
}

void
TokenCheck::Replace(std::vector<config::OperatorToken> aTokens)
{
  const std::lock_guard lock(mMutex);
  mTokens = std::move(aTokens);
}

bool
TokenCheck::IsOpen() const
{
  const std::lock_guard lock(mMutex);
  return mTokens.empty();
}

Result<std::string>
TokenCheck::Check(std::string_view aToken,
                  bool aFromLoopback,
                  config::TokenRole aNeeded) const
{
  const std::lock_guard lock(mMutex);
  if (mTokens.empty()) {
    return aFromLoopback ? Result<std::string>("loopback")
                         : Fail(Code::Unauthorized,
                                "Only loopback may call without tokens.");
  }
  const std::string hash = Sha256Hex(aToken);
  const config::OperatorToken* found = nullptr;
  for (const config::OperatorToken& token : mTokens) {
    if (SameHash(token.sha256, hash)) {
      found = &token;
    }
  }
  if (found == nullptr) {
    return Fail(Code::Unauthorized,
                aToken.empty() ? "A token is needed: Authorization: Bearer."
                               : "The token is not known.");
  }
  if (aNeeded == config::TokenRole::ReadWrite &&
      found->role == config::TokenRole::ReadOnly) {
    return Fail(Code::Unauthorized, "The token allows reads only.");
  }
  return found->name;
}

} // namespace rattandyke::admin

/// Who may call the operators' API.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"

namespace rattandyke::admin {

/// @return the SHA-256 of the text in lower-case hex.
std::string Sha256Hex(std::string_view aText);

/// Checks bearer tokens against the hashes in settings. Thread-safe.
class TokenCheck
{
public:
  explicit TokenCheck(std::vector<config::OperatorToken> aTokens);

  /// Takes over the tokens of reloaded settings.
  void Replace(std::vector<config::OperatorToken> aTokens);

  /// @return whether calls from loopback pass without a token.
  bool IsOpen() const;

  /// @param aToken what the caller sent; empty: nothing.
  /// @return the name of the caller, or Code::Unauthorized.
  Result<std::string> Check(std::string_view aToken,
                            bool aFromLoopback,
                            config::TokenRole aNeeded) const;

private:
  mutable std::mutex mMutex;
  std::vector<config::OperatorToken> mTokens;
};

} // namespace rattandyke::admin

/// Digests that tell requests apart.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace rattandyke::entry {

/// @param aParts hashed with their lengths, so that moving a byte from one part
/// to the next gives another digest.
/// @return SHA-256 of the parts in hex: a caller must not be able to make a
/// request that passes for another customer's.
std::string DigestOf(std::initializer_list<std::string_view> aParts);

/// Names requests that do the same, for the quarantine: a resend has the same
/// fingerprint, also under another request id.
/// @param aBody the body, or what of it is in memory when it is sent.
std::string FingerprintOf(std::string_view aService,
                          std::string_view aCustomer,
                          std::string_view aMethod,
                          std::string_view aTarget,
                          std::string_view aBody);

} // namespace rattandyke::entry

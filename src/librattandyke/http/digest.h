/// Digest by which two requests of one Idempotency-Key are compared.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace rattandyke::http {

/// @return SHA-256 of the parts; where one part ends matters.
std::string Digest(std::initializer_list<std::string_view> aParts);

} // namespace rattandyke::http

/// Rules for names that come from outside: ids, names of services, hosts.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <rattandyke/result.h>

namespace rattandyke {

/// Longest identifier, in bytes.
constexpr size_t kMaxIdentifierBytes = 256;
/// Longest host name, path or path prefix, in bytes.
constexpr size_t kMaxPathBytes = 4096;

/// Checks that a text is UTF-8 without control characters, so that it can be
/// logged, shown as JSON and repeated in a header.
/// @param aText  the text; may be empty.
/// @param aField name of its field, for the error.
/// @param aMaxBytes longest text that is valid.
/// @return Code::InvalidRecord with the field and the offset of the first
/// invalid byte.
Result<void> CheckText(std::string_view aText,
                       std::string_view aField,
                       size_t aMaxBytes);

/// Checks that a text can name something: not empty, at most
/// kMaxIdentifierBytes long, and valid for CheckText.
/// @return see CheckText.
Result<void> CheckIdentifier(std::string_view aText, std::string_view aField);

/// @return a text from outside for a log line or an error: each byte that is
/// not printable ASCII is written as \xNN.
std::string Printable(std::string_view aText);

} // namespace rattandyke

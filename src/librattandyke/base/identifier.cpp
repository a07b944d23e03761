#include "base/identifier.h"

#include <cstdint>

#include <boost/locale/utf.hpp>

namespace rattandyke {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr boost::locale::utf::code_point kDelete = 0x7f;

bool
IsPrintable(char aCharacter)
{
  return aCharacter >= ' ' && aCharacter <= '~';
}

std::string
Hex(char aCharacter)
{
  const auto byte = static_cast<uint8_t>(aCharacter);
  return { kHexDigits[byte >> 4U], kHexDigits[byte & 0xfU] };
}

/// @return the offset of the first byte that is a control character or no
/// UTF-8, or the length of the text.
size_t
FirstInvalidByte(std::string_view aText)
{
  using Utf8 = boost::locale::utf::utf_traits<char>;
  const char* at = aText.data();
  const char* const end = at + aText.size();
  while (at != end) {
    const char* const begin = at;
    const auto point = Utf8::decode(at, end);
    if (!boost::locale::utf::is_valid_codepoint(point) || point < ' ' ||
        point == kDelete) {
      return static_cast<size_t>(begin - aText.data());
    }
  }
  return aText.size();
}

std::string
Quoted(std::string_view aField)
{
  return "'" + std::string(aField) + "'";
}

} // namespace

Result<void>
CheckText(std::string_view aText, std::string_view aField, size_t aMaxBytes)
{
  if (aText.size() > aMaxBytes) {
    return Fail(Code::InvalidRecord,
                Quoted(aField) + " has " + std::to_string(aText.size()) +
                  " bytes; at most " + std::to_string(aMaxBytes) +
                  " are allowed.");
  }
  const size_t offset = FirstInvalidByte(aText);
  if (offset == aText.size()) {
    return {};
  }
  return Fail(Code::InvalidRecord,
              Quoted(aField) + " has the byte 0x" + Hex(aText[offset]) +
                " at offset " + std::to_string(offset) +
                ", which is a control character or not UTF-8.");
}

Result<void>
CheckIdentifier(std::string_view aText, std::string_view aField)
{
  if (aText.empty()) {
    return Fail(Code::InvalidRecord, Quoted(aField) + " must not be empty.");
  }
  return CheckText(aText, aField, kMaxIdentifierBytes);
}

std::string
Printable(std::string_view aText)
{
  std::string printable;
  for (const char character : aText) {
    printable += IsPrintable(character) ? std::string(1, character)
                                        : "\\x" + Hex(character);
  }
  return printable;
}

} // namespace rattandyke

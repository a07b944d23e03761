#include "base/identifier.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace rattandyke {
namespace {

// Guards against identifiers that a message or a JSON document can't hold.
TEST(Identifier, ErrorNamesTheFieldAndTheOffset)
{
  const Result<void> checked = CheckIdentifier("d\xe9p\xf4t-1", "id");
  ASSERT_FALSE(checked);
  EXPECT_EQ(checked.error().code, Code::InvalidRecord);
  EXPECT_EQ(checked.error().message,
            "'id' has the byte 0xe9 at offset 1, which is a control character "
            "or not UTF-8.");
}

TEST(Identifier, TextOfAnyScriptIsValid)
{
  for (const char* text : { "i-1",
                            "d\xc3\xa9p\xc3\xb4t",
                            "\xe2\x82\xac",
                            "\xf0\x9f\x9a\x9a",
                            "a b",
                            "\xed\x9f\xbf" }) {
    EXPECT_TRUE(CheckIdentifier(text, "id")) << text;
  }
}

TEST(Identifier, MalformedTextIsRefused)
{
  const std::vector<std::string> malformed{
    "",
    std::string(kMaxIdentifierBytes + 1, 'a'),
    std::string("a\0b", 3),
    "a\nb",
    "\x7f",
    "\x80",
    "\xc0\x80",         // overlong
    "\xe0\x80\x80",     // overlong
    "\xed\xa0\x80",     // surrogate
    "\xf4\x90\x80\x80", // above U+10FFFF
    "\xc3",             // cut off
    "\xe2\x82",         // cut off
  };
  for (const std::string& text : malformed) {
    EXPECT_FALSE(CheckIdentifier(text, "id")) << Printable(text);
  }
}

RC_GTEST_PROP(Identifier, WhatIsValidSurvivesJson, ())
{
  const auto piece = rc::gen::element<std::string>(
    "a", "\"", "\\", " ", "/", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x9a\x9a");
  std::string text;
  for (const std::string& part :
       *rc::gen::container<std::vector<std::string>>(piece)) {
    text += part;
  }
  RC_ASSERT(CheckText(text, "text", kMaxPathBytes).has_value());
  const boost::json::value read =
    boost::json::parse(boost::json::serialize(boost::json::value(text)));
  RC_ASSERT(std::string(read.as_string()) == text);
}

RC_GTEST_PROP(Identifier, PrintableTextIsAscii, (const std::string& aText))
{
  RC_ASSERT(CheckText(Printable(aText), "text", aText.size() * 4).has_value());
}

} // namespace
} // namespace rattandyke

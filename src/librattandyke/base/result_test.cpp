#include <rattandyke/result.h>

#include <set>

#include <gtest/gtest.h>

namespace rattandyke {
namespace {

TEST(ResultCodes, NumbersRiseAndNamesAreUnique)
{
  std::set<std::string_view> names;
  uint16_t previous = 0;
  for (const CodeInfo& info : AllCodes()) {
    const auto number = static_cast<uint16_t>(info.code);
    EXPECT_TRUE(info.code == Code::Ok || number > previous) << info.name;
    EXPECT_TRUE(names.insert(info.name).second) << info.name;
    previous = number;
  }
}

} // namespace
} // namespace rattandyke

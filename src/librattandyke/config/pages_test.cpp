#include "config/pages.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "gateway/settings.h"

namespace rattandyke::config {
namespace {

std::string
ReadPage(const std::string& aName)
{
  std::ifstream stream(std::filesystem::path(RATTANDYKE_DOCS) / aName);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

// A setting or code changes and the page does not: an operator reads a default
// that is no longer true. `make pages` writes the pages anew.
TEST(Pages, AreNotStale)
{
  EXPECT_TRUE(ReadPage("SETTINGS.md") == SettingsPage()) << "run make pages";
  EXPECT_TRUE(ReadPage("GATEWAY-SETTINGS.md") == gateway::SettingsPage())
    << "run make pages";
  EXPECT_TRUE(ReadPage("ERRORS.md") == ErrorsPage()) << "run make pages";
}

} // namespace
} // namespace rattandyke::config

#include "config/pages.h"
#include "gateway/settings.h"

#include <filesystem>
#include <fstream>

#include "rattandyke/command.h"

namespace rattandyke::cli {
namespace {

bool
WritePage(const std::filesystem::path& aFile, const std::string& aText)
{
  std::ofstream stream(aFile, std::ios::binary | std::ios::trunc);
  stream << aText;
  return stream.flush().good();
}

Exit
Pages(CommandLine& aLine, const std::vector<std::string>& aArguments)
{
  TCLAP::UnlabeledValueArg<std::string> folder(
    "folder", "folder of the docs", true, "", "FOLDER", aLine.Tclap());
  aLine.Parse(aArguments);

  const std::filesystem::path docs = folder.getValue();
  if (!WritePage(docs / "SETTINGS.md", config::SettingsPage()) ||
      !WritePage(docs / "GATEWAY-SETTINGS.md", gateway::SettingsPage()) ||
      !WritePage(docs / "ERRORS.md", config::ErrorsPage())) {
    return Report(
      Error{ Code::StorageFailed, docs.string() + ": cannot be written" });
  }
  return Exit::Ok;
}

const Registration sRegistration(
  { "pages",
    "Writes the pages of the docs that are made from tables in code.",
    &Pages,
    true });

} // namespace
} // namespace rattandyke::cli

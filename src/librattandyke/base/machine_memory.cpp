#include "base/machine_memory.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <string>

namespace rattandyke {

namespace {

constexpr size_t kKiB = 1024;
constexpr size_t kMiB = 1024 * kKiB;
/// Memory of a process that was not told how much it may use.
constexpr size_t kDefaultMemory = 256 * kMiB;
/// Memory for everything but bodies: a quarter, but at least this.
constexpr size_t kMinStateMemory = 48 * kMiB;
constexpr size_t kStateShare = 4;
/// A process on a smaller machine can hold some bodies all the same.
constexpr size_t kMinBodyMemory = 8 * kMiB;

} // namespace

std::optional<size_t>
ParseMachineMemory(std::string_view aMemInfo)
{
  constexpr std::string_view kName = "MemTotal:";
  const size_t at = aMemInfo.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view text = aMemInfo.substr(at + kName.size());
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  size_t kibibytes = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), kibibytes);
  if (error != std::errc{} || kibibytes == 0) {
    return std::nullopt;
  }
  return kibibytes * kKiB;
}

std::optional<size_t>
MachineMemory()
{
  std::ifstream file("/proc/meminfo");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseMachineMemory(text.str());
}

size_t
MemoryForBodies(size_t aConfigured, std::optional<size_t> aMachine)
{
  size_t memory = aConfigured > 0 ? aConfigured : kDefaultMemory;
  memory = std::min(memory, aMachine.value_or(memory));
  const size_t state = std::max(memory / kStateShare, kMinStateMemory);
  return std::max(memory, state + kMinBodyMemory) - state;
}

} // namespace rattandyke

/// Memory of the machine that the process runs on.
#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace rattandyke {

/// @param aMemInfo text of /proc/meminfo.
/// @return the machine's memory in bytes, nullopt if the text does not tell it.
std::optional<size_t> ParseMachineMemory(std::string_view aMemInfo);

/// @return the machine's memory in bytes, nullopt if the system does not tell
/// it.
std::optional<size_t> MachineMemory();

/// @param aConfigured memory that the process may use, in bytes; 0: unknown.
/// @param aMachine    the machine's memory.
/// @return the bytes that the process may use for bodies of messages.
size_t MemoryForBodies(size_t aConfigured, std::optional<size_t> aMachine);

} // namespace rattandyke

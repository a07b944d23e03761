/// Identity of a process of an upstream.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace rattandyke::gateway {

/// One process among those that run under an instance's id in succession.
struct UpstreamProcessId
{
  std::string instance;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamProcessId&) const =
    default; // NOLINT(*-nullptr)
};

} // namespace rattandyke::gateway

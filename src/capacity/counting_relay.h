/// A TCP relay on loopback that counts what passes.
#pragma once

#include <cstdint>
#include <memory>

#include <rattandyke/types.h>

namespace rattandyke::capacity {

/// What passed through a relay, both ways.
struct Traffic
{
  uint64_t bytes = 0;
  /// Reads that gave something: about one for each small message, since its
  /// sender does not wait to fill a segment.
  uint64_t segments = 0;
};

/// Accepts connections and joins each to a new one to its target. Counting here
/// sees the transport's own messages too, and nothing of other programs, as the
/// machine's counters would. Runs on a thread of its own.
class CountingRelay
{
public:
  /// @param aTarget where it passes everything on.
  explicit CountingRelay(const Endpoint& aTarget);
  ~CountingRelay();

  Endpoint Listening() const;
  Traffic Total() const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace rattandyke::capacity

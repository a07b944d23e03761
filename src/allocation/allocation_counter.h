/// Counts what a program takes from the heap. Linked into measuring programs
/// only (benches, capacity): the file replaces the global operator new.
#pragma once

#include <cstdint>

namespace rattandyke::allocation {

/// Heap use of this thread since it started.
struct Count
{
  /// Calls of operator new.
  uint64_t allocations = 0;
  /// Bytes asked for by those calls.
  uint64_t bytesAllocated = 0;
  /// Bytes handed out and not yet given back, as the heap rounds them; negative
  /// on a thread that frees what another one took.
  int64_t bytesHeld = 0;
};

/// @return this thread's count. Never allocates.
Count ThisThread();

/// @param aWork called once on this thread.
/// @return what aWork alone took, and what it left held.
template<typename Work>
Count
During(Work&& aWork)
{
  const Count before = ThisThread();
  aWork();
  const Count after = ThisThread();
  return { after.allocations - before.allocations,
           after.bytesAllocated - before.bytesAllocated,
           after.bytesHeld - before.bytesHeld };
}

} // namespace rattandyke::allocation

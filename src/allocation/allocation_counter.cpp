#include "allocation/allocation_counter.h"

#include <malloc.h>

#include <cstddef>
#include <cstdlib>
#include <new>

namespace rattandyke::allocation {
namespace {

// Plain data, so that no constructor runs (and allocates) on first use.
thread_local Count sCount;

void*
Take(size_t aSize, size_t aAlignment)
{
  const size_t size = aSize == 0 ? 1 : aSize;
  void* const block =
    aAlignment <= alignof(std::max_align_t)
      ? std::malloc(size)
      : std::aligned_alloc(aAlignment,
                           (size + aAlignment - 1) / aAlignment * aAlignment);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  ++sCount.allocations;
  sCount.bytesAllocated += aSize;
  sCount.bytesHeld += static_cast<int64_t>(malloc_usable_size(block));
  return block;
}

void
GiveBack(void* aBlock) noexcept
{
  if (aBlock != nullptr) {
    sCount.bytesHeld -= static_cast<int64_t>(malloc_usable_size(aBlock));
    std::free(aBlock);
  }
}

} // namespace

Count
ThisThread()
{
  return sCount;
}

} // namespace rattandyke::allocation

// The array and nothrow forms of the library call these.
void*
operator new(size_t aSize)
{
  return rattandyke::allocation::Take(aSize, 1);
}

void*
operator new(size_t aSize, std::align_val_t aAlignment)
{
  return rattandyke::allocation::Take(aSize, static_cast<size_t>(aAlignment));
}

void
operator delete(void* aBlock) noexcept
{
  rattandyke::allocation::GiveBack(aBlock);
}

void
operator delete(void* aBlock, size_t /*aSize*/) noexcept
{
  rattandyke::allocation::GiveBack(aBlock);
}

void
operator delete(void* aBlock, std::align_val_t /*aAlignment*/) noexcept
{
  rattandyke::allocation::GiveBack(aBlock);
}

void
operator delete(void* aBlock,
                size_t /*aSize*/,
                std::align_val_t /*aAlignment*/) noexcept
{
  rattandyke::allocation::GiveBack(aBlock);
}

#include "consensus/memory_log.h"

namespace rattandyke::consensus {

MemoryLog::MemoryLog(uint64_t aBaseIndex, uint64_t aBaseTerm)
  : mBaseIndex(aBaseIndex)
  , mBaseTerm(aBaseTerm)
{
}

uint64_t
MemoryLog::LastTerm() const
{
  return mEntries.empty() ? mBaseTerm : mEntries.back().term();
}

std::optional<uint64_t>
MemoryLog::TermAt(uint64_t aIndex) const
{
  if (aIndex < mBaseIndex || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return aIndex == mBaseIndex ? mBaseTerm : At(aIndex).term();
}

const wire::LogEntry&
MemoryLog::At(uint64_t aIndex) const
{
  return mEntries[aIndex - mBaseIndex - 1];
}

void
MemoryLog::Append(wire::LogEntry aEntry)
{
  mEntries.push_back(std::move(aEntry));
}

void
MemoryLog::TruncateFrom(uint64_t aIndex)
{
  mEntries.resize(aIndex - mBaseIndex - 1);
}

void
MemoryLog::CompactTo(uint64_t aIndex)
{
  while (mBaseIndex < aIndex) {
    mBaseTerm = mEntries.front().term();
    mEntries.pop_front();
    ++mBaseIndex;
  }
}

void
MemoryLog::Reset(uint64_t aBaseIndex, uint64_t aBaseTerm)
{
  mEntries.clear();
  mBaseIndex = aBaseIndex;
  mBaseTerm = aBaseTerm;
}

} // namespace rattandyke::consensus

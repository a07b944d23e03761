/// Ids of the requests that a process sends to other hosts.
#pragma once

#include <cstdint>

namespace rattandyke {

/// Numbers requests whose answers are addressed to the host, not to the
/// process. An answer to an earlier process of the host may arrive late; if
/// every process counted from 1, it would fit a request of this process. Not
/// thread-safe.
class RequestIds
{
public:
  /// @param aProcessId random, another one at each start of the process.
  explicit RequestIds(uint64_t aProcessId)
    : mLast(aProcessId & kStartMask)
  {
  }

  /// @return an id that has not been used yet; never 0.
  uint64_t Next() { return ++mLast; }

private:
  /// 40 bits keep an id within six bytes of a protobuf message.
  static constexpr uint64_t kStartMask = (uint64_t{ 1 } << 40U) - 1;

  uint64_t mLast;
};

} // namespace rattandyke

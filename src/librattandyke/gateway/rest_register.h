/// Rests that upstreams asked entry hosts for, as recorded in the replicated
/// log.
#pragma once

#include <map>
#include <string>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/resting_upstreams.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// The rests of all entry hosts, for hosts that start again: an entry host has
/// no disk, but a rest binds the next process on the same host. Every control
/// host has a register and updates it from the log, so that it outlives any
/// restart. Does no I/O. Not thread-safe.
class RestRegister
{
public:
  /// Rests beyond this number are not kept. They take about 10 MB.
  static constexpr size_t kMaxRests = 65536;

  /// Records rests.
  /// @param aAge time since the command told the times that are left.
  void Record(const wire::RecordRests& aRests, Duration aAge, Instant aNow);

  /// @return whether a rest that has just been reported ends no later than the
  /// one that is recorded.
  bool Contains(const wire::UpstreamRest& aRest, Instant aNow) const;

  /// @return the rests of an entry host that are not over.
  wire::UpstreamRests RestsOf(const std::string& aHost, Instant aNow) const;

  /// @return all rests that are not over, for a snapshot.
  wire::RecordRests Save(Instant aNow, WallTime aWall) const;

  /// Removes rests that are over. Must be called from time to time.
  void RemoveEnded(Instant aNow);

  /// @return the number of rests that have not been removed.
  size_t Size() const { return mSize; }

private:
  /// By the entry host's address.
  std::map<std::string, RestingUpstreams> mByHost;
  size_t mSize = 0;
};

/// @return a rest as a message, with the time that is left of it.
wire::UpstreamRest ToMessage(const std::string& aHost,
                             const RestingUpstreams::Rest& aRest,
                             Instant aNow);

} // namespace rattandyke::gateway

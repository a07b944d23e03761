/// Rests that are on their way into the replicated log.
#pragma once

#include <map>
#include <optional>
#include <string>

#include <rattandyke/types.h>

#include "gateway/rest_register.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// The rests that were reported to a control host and are not in its
/// RestRegister yet. A follower sends them to the leader, which proposes them
/// to the log. Each is sent again until it is in the register: the leader may
/// be replaced before it has committed them. Does no I/O. Not thread-safe.
class PendingRests
{
public:
  /// Shortest time between two messages or proposals.
  static constexpr std::chrono::milliseconds kInterval{ 100 };
  /// Rests in one message or proposal; it has about 30 KB then.
  static constexpr int kMaxBatch = 500;
  /// Rests beyond this number are ignored. The entry host reports them again to
  /// the next control host that it is connected to.
  static constexpr size_t kMaxPending = 16384;

  /// @param aRegister what the log contains; outlives this object.
  explicit PendingRests(const RestRegister& aRegister)
    : mRegister(aRegister)
  {
  }

  /// Adds the rests that the register does not contain.
  void Add(const wire::UpstreamRests& aRests, Instant aNow);

  /// @return the rests to send or to propose now, with the times that are left;
  /// none if none is due.
  wire::UpstreamRests Take(Instant aNow);

private:
  struct Key
  {
    std::string host;
    std::string instance;
    auto operator<=>(const Key&) const = default; // NOLINT(*-nullptr)
  };
  struct Pending
  {
    RestingUpstreams::Rest rest;
    std::optional<Instant> sentAt;
  };

  const RestRegister& mRegister;
  std::map<Key, Pending> mPending;
  Instant mTakenAt{};
};

} // namespace rattandyke::gateway

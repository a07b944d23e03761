/// Upstreams that an entry host must leave alone for some time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::gateway {

/// The upstreams that refused a request of this host and want no further one
/// from it for some time. A rest is between the upstream and this host: other
/// hosts may send it requests. Not thread-safe.
class RestingUpstreams
{
public:
  /// A rest of one incarnation of an instance.
  struct Rest
  {
    std::string instance;
    uint64_t incarnation = 0;
    Instant until{};
  };

  /// Longest time that a caller is told to wait because of a rest: another
  /// entry host may be able to send its request earlier.
  static constexpr std::chrono::milliseconds kMaxRetryAfter{ 1000 };

  /// Records a rest. It does not shorten an earlier one of the incarnation.
  void Record(const std::string& aInstance,
              uint64_t aIncarnation,
              Instant aUntil);

  /// @return the rest of an instance that is left; zero if it has none.
  /// @param aIncarnation present one; an earlier one's rest does not count.
  Duration Left(const std::string& aInstance,
                uint64_t aIncarnation,
                Instant aNow) const;

  /// @return the instances that rest.
  std::vector<std::string> Instances(Instant aNow) const;

  /// @return all rests that are not over.
  std::vector<Rest> Rests(Instant aNow) const;

  /// @return the rests that were recorded or lengthened since the last call and
  /// are not over.
  std::vector<Rest> TakeRecorded(Instant aNow);

  /// Removes rests that are over. Must be called from time to time.
  void RemoveEnded(Instant aNow);

  /// @return the number of rests that have not been removed.
  size_t Size() const { return mRests.size(); }

private:
  /// By instance; an instance rests in its newest incarnation only.
  std::map<std::string, Rest> mRests;
  /// Instances recorded since the last TakeRecorded.
  std::set<std::string> mRecorded;
};

} // namespace rattandyke::gateway

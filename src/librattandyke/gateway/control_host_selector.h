/// Choice of the host from which an entry host receives the replicated state.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/state.h"

namespace rattandyke::gateway {

/// Chooses the next host to connect to, and when to move to a nearer one. Does
/// no I/O. Not thread-safe.
///
/// Control hosts in the own data centre come first: otherwise every change
/// would cross the links between data centres once for each entry host. A host
/// that fell silent or closed the connection comes last for some time, also if
/// it is the only one in the data centre: it may be partitioned from the
/// leader, and a second attempt there would use up the time within which a
/// change must be in force.
class ControlHostSelector
{
public:
  /// @param aState the replicated state of this host; outlives this object.
  /// @param aSelf  address and data centre of this host.
  ControlHostSelector(const State& aState,
                      wire::EntryMember aSelf,
                      uint64_t aSeed);

  /// Sets hosts to choose from in addition to those of SetControlHosts().
  void SetSeeds(const std::vector<Endpoint>& aSeeds);

  /// Sets the members of the control group.
  void SetControlHosts(std::vector<std::string> aHosts);

  const std::vector<std::string>& ControlHosts() const { return mControlHosts; }

  /// @return a random control host that has not been tried since the last
  /// confirmation, preferably a recently working one in this data centre. Once
  /// all have been tried, an entry host, or any control host if no entry host
  /// is known. Empty if no host is known.
  std::string Next(Instant aNow);

  /// The host has confirmed that it is up to date.
  void OnConfirmed(const std::string& aHost);

  /// The host was silent, behind the leader, or closed the connection.
  void OnFailed(const std::string& aHost, Instant aNow);

  /// @return whether it is time to leave a host in another data centre for one
  /// in this data centre. Each entry host waits for a random time first, so
  /// that not all move together.
  bool ShouldMove(const std::string& aHost, Instant aNow);

private:
  bool IsInOwnDataCentre(const std::string& aHost) const;
  bool HasFailedRecently(const std::string& aHost, Instant aNow) const;
  std::vector<std::string> PickEntryHost();
  Duration Randomised(Duration aTime);

  const State& mState;
  const wire::EntryMember mSelf;
  Random mRandom;
  std::vector<std::string> mSeeds;
  std::vector<std::string> mControlHosts;
  std::set<std::string> mTried;
  std::map<std::string, Instant> mFailedAt;
  /// When the next move to the own data centre is due, and when the last one
  /// was.
  std::optional<Instant> mMoveAt;
  Instant mLastMoveAt{};
};

} // namespace rattandyke::gateway

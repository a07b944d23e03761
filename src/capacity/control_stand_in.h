/// A leader with its state and many hosts and upstreams, without I/O.
#pragma once

#include <functional>
#include <vector>

#include "control/coordinator.h"
#include "control/state.h"

namespace rattandyke::capacity {

/// What a stretch of virtual time cost.
struct ControlCost
{
  uint64_t commands = 0;
  uint64_t commandBytes = 0;
  Duration virtualTime{};
};

/// Drives the product's own State and Coordinator in virtual time: every host
/// sends a heartbeat each 100 ms that reports its upstreams, every proposal is
/// applied at once, every host takes the newest table at once.
class ControlStandIn
{
public:
  /// @param aHosts entry hosts, each the home of aUpstreamsEach upstreams, and
  /// each upstream to own aSlotsEach slots.
  ControlStandIn(size_t aHosts, size_t aUpstreamsEach, size_t aSlotsEach);

  /// Runs heartbeats until every slot has an owner and nothing is proposed.
  ControlCost Settle();

  /// The first aCount upstreams lapse; their homes live and report it.
  void LoseUpstreams(size_t aCount);

  /// One host's heartbeat. @return the effects of the step.
  std::vector<control::Effect> Heartbeat(size_t aHost);

  /// One tick without news.
  void Tick();

  const control::State& State() const { return mState; }

  /// From here on every host is taken to hold no list of hosts.
  void ForgetHosts();

private:
  void Submit();
  void Round(ControlCost& aCost);
  void Take(const std::vector<control::Effect>& aEffects, ControlCost& aCost);
  bool IsWhole() const;

  const size_t mHosts;
  const size_t mUpstreamsEach;
  const size_t mSlots;
  size_t mLost = 0;
  uint64_t mIndex = 0;
  uint64_t mSequence = 0;
  /// Of the newest list of hosts; every host is taken to hold it.
  uint64_t mHostsDigest = 0;
  Instant mNow{};
  control::State mState;
  control::Coordinator mCoordinator;
};

} // namespace rattandyke::capacity

/// Nodes with clocks of their own and a network between them that loses,
/// delays, repeats and reorders messages. In virtual time.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <utility>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "testing/virtual_time.h"

namespace rattandyke::testing {

/// One process that may be paused, crash and start again.
struct Node
{
  std::string name;
  /// How fast its clock runs, and how far it is ahead.
  double rate = 1;
  Duration offset{};
  bool up = true;
  Instant pausedUntil{};
  /// Rises with each crash; timers of an older life do not fire.
  uint64_t life = 0;
};

/// How often a message fares badly.
struct Weather
{
  double lost = 0.01;
  double repeated = 0.01;
  double slow = 0.02;
};

/// Not thread-safe.
class ControlNetwork
{
public:
  ControlNetwork(uint64_t aSeed, Weather aWeather)
    : random(aSeed)
    , mWeather(aWeather)
  {
  }

  Instant Now() const { return time.Now(); }

  /// @return what the node's clock shows.
  Instant Local(const Node& aNode) const
  {
    const auto passed = std::chrono::duration<double>(Now() - Instant{});
    return Instant{} + aNode.offset +
           std::chrono::duration_cast<Duration>(passed * aNode.rate);
  }

  bool IsPaused(const Node& aNode) const { return Now() < aNode.pausedUntil; }
  bool IsRunning(const Node& aNode) const
  {
    return aNode.up && !IsPaused(aNode);
  }

  /// Calls after a time by the node's clock, or when it is no longer paused.
  void After(Node& aNode, Duration aDelay, std::function<void()> aCall)
  {
    const auto delay = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(aDelay) / aNode.rate);
    Schedule(aNode, aNode.life, Now() + delay, std::move(aCall));
  }

  /// Delivers to a node, perhaps late, twice or never.
  void Send(const Node& aFrom, Node& aTo, const std::function<void()>& aArrive)
  {
    if (IsCut(aFrom, aTo) || Chance(mWeather.lost)) {
      return;
    }
    const int copies = Chance(mWeather.repeated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      Schedule(aTo, aTo.life, Now() + Delay(), aArrive);
    }
  }

  void SetWeather(Weather aWeather) { mWeather = aWeather; }

  void Cut(const std::string& aFrom, const std::string& aTo)
  {
    mCuts.insert({ aFrom, aTo });
  }
  void Mend(const std::string& aFrom, const std::string& aTo)
  {
    const auto cut = mCuts.find({ aFrom, aTo });
    if (cut != mCuts.end()) {
      mCuts.erase(cut);
    }
  }
  bool IsCut(const Node& aFrom, const Node& aTo) const
  {
    return mCuts.contains({ aFrom.name, aTo.name });
  }

  /// Whether the nodes can talk both ways now.
  bool AreInTouch(const Node& aOne, const Node& aOther) const
  {
    return IsRunning(aOne) && IsRunning(aOther) && !IsCut(aOne, aOther) &&
           !IsCut(aOther, aOne);
  }

  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<double>(0, 1)(random) < aShare;
  }

  Duration Between(std::chrono::milliseconds aLeast,
                   std::chrono::milliseconds aMost)
  {
    return std::chrono::microseconds(std::uniform_int_distribution<int64_t>(
      std::chrono::microseconds(aLeast).count(),
      std::chrono::microseconds(aMost).count())(random));
  }

  VirtualTime time;
  Random random;

private:
  using Ms = std::chrono::milliseconds;

  Duration Delay()
  {
    return Chance(mWeather.slow) ? Between(Ms{ 3 }, Ms{ 300 })
                                 : Between(Ms{ 0 }, Ms{ 2 });
  }

  void Schedule(Node& aNode,
                uint64_t aLife,
                Instant aDue,
                std::function<void()> aCall)
  {
    time.At(aDue, [this, &aNode, aLife, aCall = std::move(aCall)] {
      if (!aNode.up || aNode.life != aLife) {
        return;
      }
      if (IsPaused(aNode)) {
        Schedule(aNode, aLife, aNode.pausedUntil, aCall);
        return;
      }
      aCall();
    });
  }

  Weather mWeather;
  std::multiset<std::pair<std::string, std::string>> mCuts;
};

} // namespace rattandyke::testing

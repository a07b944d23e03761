#include "testing/control_faults.h"

#include <array>

namespace rattandyke::testing {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kShortest{ 50 };
constexpr Ms kLongest{ 3000 };

/// Hosts first, then upstreams.
Node&
NodeAt(ControlWorld& aWorld, uint32_t aAt)
{
  const size_t at = aAt % (aWorld.Hosts() + aWorld.Upstreams());
  return at < aWorld.Hosts() ? aWorld.Host(at).node
                             : aWorld.Upstream(at - aWorld.Hosts()).node;
}

void
CutFor(ControlWorld& aWorld, const Fault& aFault, bool aBothWays)
{
  const std::string one = NodeAt(aWorld, aFault.one).name;
  const std::string other = NodeAt(aWorld, aFault.other).name;
  aWorld.Network().Cut(one, other);
  if (aBothWays) {
    aWorld.Network().Cut(other, one);
  }
  aWorld.Network().time.After(aFault.lasts, [&aWorld, one, other, aBothWays] {
    aWorld.Network().Mend(one, other);
    if (aBothWays) {
      aWorld.Network().Mend(other, one);
    }
  });
}

void
Pause(ControlWorld& aWorld, Node& aNode, Duration aTime)
{
  const Instant until = aWorld.Network().Now() + aTime;
  aNode.pausedUntil = std::max(aNode.pausedUntil, until);
}

void
CrashHostFor(ControlWorld& aWorld, size_t aHost, Duration aTime)
{
  if (!aWorld.Host(aHost).node.up) {
    return;
  }
  aWorld.CrashHost(aHost);
  aWorld.Network().time.After(aTime,
                              [&aWorld, aHost] { aWorld.StartHost(aHost); });
}

void
CrashUpstreamFor(ControlWorld& aWorld, size_t aUpstream, Duration aTime)
{
  if (!aWorld.Upstream(aUpstream).node.up) {
    return;
  }
  aWorld.CrashUpstream(aUpstream);
  aWorld.Network().time.After(
    aTime, [&aWorld, aUpstream] { aWorld.StartUpstream(aUpstream); });
}

void
Begin(ControlWorld& aWorld, const Fault& aFault)
{
  const size_t host = aFault.one % aWorld.Hosts();
  const size_t upstream = aFault.one % aWorld.Upstreams();
  const auto leader = aWorld.Group().Leader();
  switch (aFault.kind) {
    case FaultKind::CutOneWay:
      return CutFor(aWorld, aFault, false);
    case FaultKind::CutBothWays:
      return CutFor(aWorld, aFault, true);
    case FaultKind::PauseHost:
      return Pause(aWorld, aWorld.Host(host).node, aFault.lasts);
    case FaultKind::PauseUpstream:
      return Pause(aWorld, aWorld.Upstream(upstream).node, aFault.lasts);
    case FaultKind::CrashHost:
      return CrashHostFor(aWorld, host, aFault.lasts);
    case FaultKind::CrashUpstream:
      return CrashUpstreamFor(aWorld, upstream, aFault.lasts);
    case FaultKind::RestartUpstreamAtOnce:
      return CrashUpstreamFor(aWorld, upstream, Ms{ 1 });
    case FaultKind::PauseLeader:
      if (leader) {
        Pause(aWorld, aWorld.Host(*leader).node, aFault.lasts);
      }
      return;
    case FaultKind::CrashLeader:
      if (leader) {
        CrashHostFor(aWorld, *leader, aFault.lasts);
      }
      return;
    case FaultKind::Drain:
    case FaultKind::IgnoreRevokes: {
      ModelUpstream& model = aWorld.Upstream(upstream);
      bool& flag =
        aFault.kind == FaultKind::Drain ? model.draining : model.ignoresRevokes;
      flag = true;
      aWorld.Network().time.After(aFault.lasts, [&flag] { flag = false; });
      return;
    }
  }
}

} // namespace

std::string
Describe(const Fault& aFault)
{
  constexpr std::array<const char*, kFaultKinds> kNames{
    "cut one way",      "cut",
    "pause host",       "pause upstream",
    "crash host",       "crash upstream",
    "restart upstream", "pause leader",
    "crash leader",     "drain",
    "ignore revokes"
  };
  return std::string(kNames.at(static_cast<size_t>(aFault.kind))) + " " +
         std::to_string(aFault.one) + " " + std::to_string(aFault.other) +
         " at " + std::to_string(aFault.at.count()) + " ms for " +
         std::to_string(aFault.lasts.count()) + " ms";
}

void
Inject(ControlWorld& aWorld, const Fault& aFault)
{
  aWorld.Network().time.After(aFault.at,
                              [&aWorld, aFault] { Begin(aWorld, aFault); });
}

std::vector<Fault>
DrawFaults(Random& aRandom, size_t aCount, Ms aWithin)
{
  const auto draw = [&](int64_t aMost) {
    return std::uniform_int_distribution<int64_t>(0, aMost)(aRandom);
  };
  std::vector<Fault> faults;
  for (size_t at = 0; at < aCount; ++at) {
    Fault& fault = faults.emplace_back();
    fault.kind = static_cast<FaultKind>(draw(kFaultKinds - 1));
    fault.one = static_cast<uint32_t>(draw(1000));
    fault.other = static_cast<uint32_t>(draw(1000));
    fault.at = Ms{ draw(aWithin.count()) };
    fault.lasts = kShortest + Ms{ draw((kLongest - kShortest).count()) };
  }
  return faults;
}

ScheduleResult
RunSchedule(uint64_t aNumber)
{
  constexpr uint64_t kFirstSeed = 20261202;
  constexpr size_t kMostFaults = 12;
  Random random(kFirstSeed + aNumber);
  WorldOptions options;
  options.seed = random();
  options.unchecking = random() % 3;
  ControlWorld world(options);
  world.RunFor(Ms{ 700 });
  world.Submit(R"({"slots": 8})", "first");
  world.RunFor(Ms{ 2000 });
  const size_t count = 1 + random() % kMostFaults;
  for (const Fault& fault : DrawFaults(random, count, Ms{ 2500 })) {
    Inject(world, fault);
  }
  world.RunFor(Ms{ 5000 });
  return { world.MostOwnersAtOnce(),
           world.FencesWentBack(),
           world.FirstFault() };
}

} // namespace rattandyke::testing

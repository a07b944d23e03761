#include "control/coordinator.h"

#include <algorithm>

#include "control/evidence_book.h"
#include "control/live_hosts.h"
#include "control/mover.h"
#include "control/registrar.h"
#include "control/upstream_leases.h"

namespace rattandyke::control {

namespace {

// Gone hosts are listed for a while.
constexpr std::chrono::minutes kHostMemory{ 10 };
constexpr std::chrono::seconds kCleaningInterval{ 10 };
constexpr std::chrono::milliseconds kWeighingInterval{ 100 };
// One that was out of reach is taken up again after this, and after twice as
// long each time that it is condemned anew.
constexpr std::chrono::seconds kFirstRefusal{ 5 };
constexpr std::chrono::seconds kLongestRefusal{ 80 };

} // namespace

struct Coordinator::Impl
{
  Impl(HostName aName, LeaseOptions aOptions, const State& aState)
    : name(std::move(aName))
    , options(aOptions)
    , state(aState)
    , hosts(options)
    , leases(options, hosts)
    , registrar(options, state, hosts, leases, proposals)
    , mover(options, state, hosts, leases, registrar, proposals)
  {
  }

  void On(const BecameLeader& aEvent, Instant aNow)
  {
    leading = true;
    term = aEvent.term;
    quorumSentAt.reset();
    proposals.Clear();
    hosts.Begin(aEvent.elected);
    liveHosts = {};
    leases.Begin(aEvent.elected);
    registrar.Begin(aEvent.elected);
    mover.Begin(aEvent.elected);
    evidence.Begin();
    refusals.clear();
    followed = {};
    for (const auto& [service, owners] : state.Owners().All()) {
      for (const UpstreamEntry& entry : owners.upstreams) {
        if (!entry.IsForgotten()) {
          leases.Follow(entry, false, aNow);
        }
      }
    }
    followed = state.Version();
  }

  void On(const SteppedDown&, Instant)
  {
    leading = false;
    quorumSentAt.reset();
    proposals.Clear();
  }

  void On(const QuorumConfirmed& aEvent, Instant)
  {
    quorumSentAt =
      quorumSentAt ? std::max(*quorumSentAt, aEvent.sentAt) : aEvent.sentAt;
  }

  void On(const ProposalDone& aEvent, Instant) { proposals.Done(aEvent.id); }

  void On(const Applied& aEvent, Instant aNow)
  {
    if (!aEvent.tableChanged) {
      return;
    }
    mustPush = true;
    state.VisitChangedUpstreams(followed, [&](const UpstreamEntry& aEntry) {
      leases.Follow(aEntry, true, aNow);
      evidence.Forget({ aEntry.view.service(), aEntry.view.name() });
      if (aEntry.IsLost()) {
        mover.NoteLost(aEntry.view.service(), aNow);
        effects.push_back(Note{ "upstream " + aEntry.view.service() + "/" +
                                aEntry.view.name() + " is lost" });
      }
    });
    followed = state.Version();
  }

  void On(const HeartbeatReceived& aEvent, Instant aNow)
  {
    const wire::Heartbeat& heartbeat = aEvent.heartbeat;
    if (!hosts.Note(heartbeat, aNow)) {
      return;
    }
    const HostSession session{ HostName{ heartbeat.host() },
                               heartbeat.session() };
    const TableVersion table{ heartbeat.table_version() };
    leases.NoteTable(session, table, aNow);
    for (const wire::UpstreamReport& report : heartbeat.upstreams()) {
      leases.NoteReport(report, session, table);
      registrar.Note(report, session, aNow);
    }
    evidence.Note(heartbeat, aNow);
    for (const UpstreamLife& life : leases.NoteMissing(heartbeat)) {
      registrar.Suspect(life);
    }
    // A leader that was cut off must not give leases that its successor, who
    // counts them from its own election, cannot know. It answers only while
    // followers that heard from it cannot have elected anyone yet.
    if (IsQuorumFresh(aNow)) {
      hosts.Renew(session, aNow);
      Answer(*hosts.Find(session), aNow);
    }
  }

  void On(const Tick& aEvent, Instant aNow)
  {
    mover.SetWall(aEvent.wall);
    liveHosts.Refresh(hosts, aNow);
    OrphanClaims(aNow);
    Push(aNow);
    if (aNow - weighedAt >= kWeighingInterval) {
      weighedAt = aNow;
      WeighEvidence(aNow);
    }
    if (aNow - cleanedAt >= kCleaningInterval) {
      cleanedAt = aNow;
      Clean(aNow);
    }
  }

  bool IsQuorumFresh(Instant aNow) const
  {
    return quorumSentAt &&
           aNow <
             *quorumSentAt + Shortened(options.electionTimeoutMin, options);
  }

  void Answer(const HostLease& aHost, Instant aNow)
  {
    wire::HeartbeatReply reply;
    reply.set_host(aHost.session.host.value);
    reply.set_session(aHost.session.session);
    reply.set_sequence(aHost.sequence);
    reply.set_term(term);
    reply.set_leader(name.value);
    reply.set_granted(true);
    reply.set_lease_ms(options.hostLease.count());
    if (state.Version().value != 0) {
      *reply.mutable_update() = state.UpdateSince(aHost.updateFrom);
    }
    reply.set_keeper_version(state.Version().value);
    if (!liveHosts.Covers(aHost)) {
      liveHosts.Refresh(hosts, aNow);
    }
    liveHosts.AddTo(reply, aHost.hostsDigest);
    effects.push_back(Reply{ std::move(reply) });
  }

  /// Sends changes to all hosts without waiting for their next heartbeats. The
  /// reply repeats the lease of the newest heartbeat; it does not lengthen it.
  void Push(Instant aNow)
  {
    if (!mustPush || !IsQuorumFresh(aNow)) {
      return;
    }
    mustPush = false;
    for (const auto& [session, lease] : hosts.All()) {
      if (lease.updateFrom < state.Version() && lease.heard == lease.lastSeen &&
          hosts.MayLive(lease, aNow)) {
        Answer(lease, aNow);
      }
    }
  }

  size_t LiveEntries(Instant aNow) const
  {
    size_t entries = 0;
    for (const auto& [session, lease] : hosts.All()) {
      entries += lease.entry && hosts.MayLive(lease, aNow) ? 1 : 0;
    }
    return entries;
  }

  void WeighEvidence(Instant aNow)
  {
    std::map<std::string, std::vector<const UpstreamEntry*>> services;
    for (const auto& [service, name] :
         evidence.Unreachable(LiveEntries(aNow), aNow)) {
      const auto* entry = state.Owners().FindUpstream(service, name);
      if (entry != nullptr && !entry->IsLost()) {
        services[service].push_back(entry);
      }
    }
    for (const auto& [service, entries] : services) {
      Condemn(service, entries, aNow);
    }
  }

  void Condemn(const std::string& aService,
               const std::vector<const UpstreamEntry*>& aEntries,
               Instant aNow)
  {
    const auto& all = state.Owners().Find(aService)->upstreams;
    const auto live = static_cast<size_t>(
      std::count_if(all.begin(), all.end(), [](const UpstreamEntry& aEntry) {
        return !aEntry.IsForgotten() && !aEntry.IsLost();
      }));
    // When most of a service seems out of reach at once, the fault is more
    // likely on the way or in this detection than in each of them; moving all
    // its keys would turn a short fault into a long one.
    if (live > 1 && aEntries.size() * 2 > live) {
      return;
    }
    for (const UpstreamEntry* entry : aEntries) {
      Duration& refusal = refusals[{ aService, entry->view.name() }];
      refusal = std::clamp<Duration>(
        refusal * 2, kFirstRefusal, Duration(kLongestRefusal));
      registrar.Condemn(entry->view, aNow + refusal);
      evidence.Forget({ aService, entry->view.name() });
      effects.push_back(Note{ "upstream " + aService + "/" +
                              entry->view.name() +
                              " is out of reach of most hosts" });
    }
  }

  void OrphanClaims(Instant aNow)
  {
    for (const HostSession& runner : state.Claims().Runners()) {
      const std::string subject =
        "claims/" + runner.host.value + "/" + std::to_string(runner.session);
      if (hosts.MayLive(runner, aNow) || proposals.IsBusy(subject)) {
        continue;
      }
      wire::Command command;
      command.mutable_orphan_claims()->set_host(runner.host.value);
      command.mutable_orphan_claims()->set_session(runner.session);
      proposals.Add(std::move(command), { subject });
    }
  }

  void Clean(Instant aNow)
  {
    // One that stays well is forgiven step by step.
    for (auto& [upstream, refusal] : refusals) {
      refusal -= kCleaningInterval / 10;
    }
    std::erase_if(refusals,
                  [](const auto& aItem) { return aItem.second <= Duration{}; });
    hosts.Forget(aNow, kHostMemory);
    std::set<UpstreamLife> needed;
    for (const auto& [service, owners] : state.Owners().All()) {
      for (const UpstreamEntry& entry : owners.upstreams) {
        needed.insert({ service, entry.view.name(), entry.view.incarnation() });
      }
      // By name: clang refuses to capture a structured binding by default.
      const auto needPrevious =
        [&, &service = service, &owners = owners](const Holding& aHolding) {
          if (const UpstreamEntry* previous = owners.At(aHolding.previous)) {
            needed.insert(
              { service, previous->view.name(), aHolding.previousIncarnation });
          }
        };
      for (const uint32_t slot : owners.freeSlots) {
        needPrevious(owners.slots[slot]);
      }
      for (const std::string& key : owners.freeHotKeys) {
        needPrevious(owners.hotKeys.at(key));
      }
    }
    leases.Forget(
      [&](const UpstreamLife& aLife) { return needed.contains(aLife); });
  }

  void Advance(Instant aNow)
  {
    if (!leading) {
      return;
    }
    registrar.Step(aNow);
    mover.Step(aNow);
    for (Propose& proposal : proposals.TakeNew()) {
      effects.push_back(std::move(proposal));
    }
  }

  HostName name;
  LeaseOptions options;
  const State& state;
  Proposals proposals;
  HostLeases hosts;
  LiveHosts liveHosts;
  UpstreamLeases leases;
  Registrar registrar;
  Mover mover;
  EvidenceBook evidence;
  /// How long each upstream that was out of reach is refused.
  std::map<EvidenceBook::Key, Duration> refusals;
  Instant weighedAt{};
  bool leading = false;
  uint64_t term = 0;
  std::optional<Instant> quorumSentAt;
  TableVersion followed;
  bool mustPush = false;
  Instant cleanedAt{};
  std::vector<Effect> effects;
};

Coordinator::Coordinator(HostName aName,
                         LeaseOptions aOptions,
                         const State& aState)
  : mImpl(std::make_unique<Impl>(std::move(aName), aOptions, aState))
{
}

Coordinator::~Coordinator() = default;

std::vector<Effect>
Coordinator::Step(const Event& aEvent, Instant aNow)
{
  if (!mImpl->leading && !std::holds_alternative<BecameLeader>(aEvent)) {
    return {};
  }
  std::visit([&](const auto& aOne) { mImpl->On(aOne, aNow); }, aEvent);
  mImpl->Advance(aNow);
  return std::exchange(mImpl->effects, {});
}

bool
Coordinator::IsLeader() const
{
  return mImpl->leading;
}

bool
Coordinator::IsQuorumFresh(Instant aNow) const
{
  return mImpl->leading && mImpl->IsQuorumFresh(aNow);
}

const HostLeases&
Coordinator::Hosts() const
{
  return mImpl->hosts;
}

} // namespace rattandyke::control

/// A small deployment in virtual time: control group, hosts, upstreams. The
/// decisions of control and of hosts are the product's; upstreams are models
/// that follow docs/PROTOCOL.md.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent/host_agent.h"
#include "agent/in_flight_versions.h"
#include "agent/lease_keeper.h"
#include "routing/routing_table.h"
#include "testing/control_group.h"
#include "testing/control_network.h"

namespace rattandyke::testing {

inline constexpr const char* kWorldService = "board";

struct WorldOptions
{
  uint64_t seed = 1;
  size_t controlHosts = 3;
  /// Control hosts included.
  size_t hosts = 5;
  size_t upstreams = 4;
  /// Of these, so many (the last ones) check no fences.
  size_t unchecking = 1;
  uint32_t slots = 8;
  std::string recordFields;
  Weather weather;
  control::LeaseOptions leases;
};

/// A host process: the product's decisions of an agent.
struct ModelHost
{
  Node node;
  uint64_t session = 0;
  std::optional<agent::HostAgent> agent;
  std::optional<agent::LeaseKeeper> keeper;
  std::unique_ptr<agent::InFlightVersions> inFlight;
  Instant leaseEnd{};
  /// Announcements that wait for an answer: upstream and its own number.
  std::map<uint64_t, std::pair<size_t, uint64_t>> announcements;
  uint64_t lastAnnouncement = 0;
  /// Requests running at upstreams that check no fences.
  std::map<uint64_t, agent::InFlightVersions::Bracket> running;
  uint64_t lastRequest = 0;
  /// Since its last heartbeat, by upstream.
  std::map<std::string, wire::UpstreamEvidence> evidence;

  const routing::RoutingTable& Table() const { return *agent->Table(); }
};

/// An upstream process.
struct ModelUpstream
{
  Node node;
  /// As it announces itself; two processes may use one name.
  std::string name;
  uint64_t incarnation = 0;
  bool checksFences = true;
  bool draining = false;
  /// Takes grants away at once but never says so.
  bool ignoresRevokes = false;
  size_t home = 0;
  /// Of its last announcement.
  uint64_t number = 0;
  Instant sentAt{};
  bool answered = false;
  Instant leaseEnd{};
  uint64_t received = 0;
  uint64_t applied = 0;
  std::map<uint32_t, uint64_t> grants;
  /// Requests it runs, by slot.
  std::multiset<uint32_t> running;
  /// Slots that were taken away and still run something.
  std::set<uint32_t> closing;
};

/// Not thread-safe.
class ControlWorld
{
public:
  explicit ControlWorld(WorldOptions aOptions);

  void RunFor(Duration aTime);

  ControlNetwork& Network() { return mNetwork; }
  ControlGroup& Group() { return *mGroup; }
  ModelHost& Host(size_t aAt) { return *mHosts[aAt]; }
  ModelUpstream& Upstream(size_t aAt) { return *mUpstreams[aAt]; }
  size_t Hosts() const { return mHosts.size(); }
  size_t Upstreams() const { return mUpstreams.size(); }

  void CrashHost(size_t aAt);
  void StartHost(size_t aAt);
  void CrashUpstream(size_t aAt);
  /// With a new incarnation.
  void StartUpstream(size_t aAt);
  void Submit(const std::string& aBody, const std::string& aId);

  /// @return processes that would take work for a slot now, most of any slot
  /// since the start.
  size_t MostOwnersAtOnce() const { return mMostOwners; }
  /// @return times a request started under an older fence than one before it.
  size_t FencesWentBack() const { return mFencesWentBack; }
  /// @return text on the first wrong thing that was seen.
  const std::string& FirstFault() const { return mFirstFault; }

  /// @return owner of the slot in the leader's state, or "".
  std::string OwnerOf(uint32_t aSlot);
  /// @return whether some process takes work for the slot and some host with a
  /// lease sends it there.
  bool IsServed(uint32_t aSlot) const;
  /// @return newest state among running members.
  const control::State& NewestState();
  /// Longest time for which each slot was not served, sampled since Reset.
  Duration LongestUnserved() const;
  void ResetUnserved();

private:
  void ArmHost(ModelHost& aHost);
  void StepAgent(ModelHost& aHost, const agent::HostAgentEvent& aEvent);
  void StepKeeper(ModelHost& aHost, const agent::LeaseKeeperEvent& aEvent);
  void On(ModelHost& aHost, const agent::SendHeartbeat& aEffect);
  void On(ModelHost& aHost, const agent::TableReplaced& aEffect);
  void On(ModelHost& aHost, const agent::LeaseExtended& aEffect);
  void On(ModelHost& aHost, const agent::HostsListed& aEffect);
  void On(ModelHost& aHost, const agent::ControlHeard& aEffect);
  void On(ModelHost& aHost, const agent::LeaveAcknowledged& aEffect);
  void OnAnnouncement(ModelHost& aHost,
                      size_t aUpstream,
                      uint64_t aNumber,
                      const agent::Announcement& aAnnouncement);
  bool HasLease(const ModelHost& aHost) const;

  void Announce(size_t aAt);
  void OnAnswer(size_t aAt,
                uint64_t aNumber,
                const agent::AnnounceAnswer& aAnswer);
  void TakeGrants(ModelUpstream& aUpstream,
                  const agent::AnnounceAnswer& aAnswer);
  void TryAcknowledge(ModelUpstream& aUpstream);
  bool TakesWork(const ModelUpstream& aUpstream, uint32_t aSlot) const;
  /// Whether the host's table sends the slot's keys there.
  bool SendsTo(const ModelHost& aHost,
               const ModelUpstream& aUpstream,
               uint32_t aSlot) const;

  void ArmRequests(ModelHost& aHost);
  void SendRequest(ModelHost& aHost, uint32_t aSlot);
  /// @return false if the host must not send now.
  bool BeginRequest(ModelHost& aHost, const ModelUpstream& aUpstream);
  void NoteEvidence(ModelHost& aHost, const ModelUpstream& aUpstream);
  void OnRequest(ModelUpstream& aUpstream, uint32_t aSlot, uint64_t aFence);
  void Sample();
  void CheckOwners(uint32_t aSlot);
  std::string Describe(uint32_t aSlot) const;
  ModelUpstream* FindUpstream(std::string_view aName);

  WorldOptions mOptions;
  ControlNetwork mNetwork;
  std::vector<std::unique_ptr<ModelHost>> mHosts;
  std::vector<std::unique_ptr<ModelUpstream>> mUpstreams;
  std::unique_ptr<ControlGroup> mGroup;
  uint64_t mLastIdentity = 1000;
  size_t mMostOwners = 0;
  size_t mFencesWentBack = 0;
  std::string mFirstFault;
  /// A key in each slot.
  std::vector<std::string> mKeys;
  std::vector<uint64_t> mNewestFence;
  std::vector<Instant> mServedAt;
  std::vector<Duration> mUnserved;
};

} // namespace rattandyke::testing

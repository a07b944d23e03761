/// How the control hosts of the settings become a group, once.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "consensus/types.h"
#include "wire/consensus.pb.h"

namespace rattandyke::consensus {

/// Decides who founds the group and with which identities. Does no I/O. Not
/// thread-safe.
///
/// Only the control host whose name sorts first may found, and only after all
/// the others have answered its own hellos that they have no log. A host that
/// belongs to a group never answers so, so a group is never founded beside one
/// that lives; the price is that the first start needs all hosts.
///
/// With open membership the settings name only a few control hosts. These found
/// the group, on the deployment's first start only; all others join it. A host
/// greets the members it has heard of too, so that it finds the group when the
/// hosts of its settings are gone.
///
/// A host says hello whenever it hears no leader: it may have lost its disk, or
/// have been replaced while it was away, and the leader can't know that it is
/// back.
class Founding
{
public:
  struct Options
  {
    HostName self;
    HostIdentity identity;
    std::vector<Member> controlHosts;
    /// As ReplicaOptions::voters.
    size_t voters = 0;
    /// Where peers reach this host; told in hellos.
    Endpoint address;
    /// As in ReplicaOptions.
    bool openMembership = false;
    /// As in ReplicaOptions.
    bool mayFound = true;
    Duration helloInterval = std::chrono::milliseconds{ 200 };
  };

  /// What this host's replica holds at the moment.
  struct Own
  {
    /// It has neither log nor snapshot.
    bool empty = true;
    wire::Configuration configuration;
    bool hearsLeader = false;
  };

  struct Tick
  {};

  struct HelloReceived
  {
    HostName from;
    HostIdentity identity;
    wire::Hello hello;
  };

  using Event = std::variant<Tick, HelloReceived>;

  struct SendHello
  {
    HostName to;
    wire::Hello hello;
  };

  struct Found
  {
    wire::Configuration configuration;
  };

  using Effect = std::variant<SendHello, Found>;

  explicit Founding(Options aOptions);

  std::vector<Effect> Step(const Event& aEvent, const Own& aOwn, Instant aNow);

  /// @return when the next Tick is due.
  Instant NextDeadline() const { return mHelloDue; }

private:
  void On(const Tick&, const Own& aOwn, Instant aNow);
  void On(const HelloReceived& aEvent, const Own& aOwn, Instant aNow);
  void FoundIfComplete();
  bool MayFound() const;
  std::set<HostName> HostsToGreet(const Own& aOwn) const;
  wire::Hello MakeHello(const Own& aOwn) const;
  void Learn(const wire::Configuration& aConfiguration);

  const Options mOptions;
  Instant mHelloDue{};
  bool mFounded = false;
  /// Hosts that said they are empty, in answer to a hello of this process.
  std::map<HostName, HostIdentity> mEmpty;
  /// Members of groups that answers told of. The settings may name only a few
  /// hosts, all of which may have left since.
  std::set<HostName> mLearned;
  std::vector<Effect> mEffects;
};

} // namespace rattandyke::consensus

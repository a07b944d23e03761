/// Runs one host's replica of the log: joins the decisions of Replica to the
/// disk of LogStore and to the transport of its owner.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"
#include "consensus/types.h"
#include "storage/file_system.h"

namespace rattandyke::consensus {

/// A member of the control group. All methods are called on the executor, which
/// must run one handler at a time (a strand, or an io_context with one thread);
/// all callbacks run on it. The destructor stops the driver; call it on the
/// executor too, or once that runs no more. The disk is written and synced by a
/// thread of the driver's own.
class Driver
{
public:
  struct Options
  {
    /// This host, one of controlHosts.
    HostName name;
    /// Where the drivers of other control hosts reach this one; told to those
    /// whose settings do not name it.
    Endpoint address;
    std::filesystem::path dataFolder;
    /// Every control host of the settings, this one too; with
    /// ReplicaOptions::openMembership those that found the group.
    std::vector<Member> controlHosts;
    ReplicaOptions replica;
    /// Files that hold the data folder.
    std::function<std::unique_ptr<storage::FileSystem>()> openFiles =
      storage::MakeFileSystem;
  };

  struct Callbacks
  {
    /// Sends bytes to another control host, whose driver takes them by
    /// Receive. May lose, repeat and reorder them.
    std::function<void(const HostName&, std::string)> send;
    /// Takes a committed command. Commands come in the order of the log and
    /// once each per process, from the snapshot last loaded on. Indices rise
    /// but have gaps: some entries are the log's own.
    std::function<void(LogIndex, std::string_view)> apply;
    /// @return the state after the commands applied so far.
    std::function<std::string()> makeSnapshot;
    /// Replaces the state. Called before Start returns if the disk holds a
    /// snapshot, and when this host is too far behind for single commands.
    /// @return an error if the snapshot can't be read; the state is then as it
    /// was, Start fails, and a driver that runs stops.
    std::function<Result<void>(std::string_view)> loadSnapshot;
    /// With a term: this host leads, and every command committed before has
    /// been applied. Without: it no longer leads. A leader that was paused
    /// learns of its loss late; whoever acts on leadership must bound that by
    /// QuorumContact.
    std::function<void(std::optional<uint64_t>)> leadership;
  };

  using ProposeDone = std::function<void(Result<LogIndex>)>;
  using Done = std::function<void(Result<void>)>;

  /// @param aSeed of the random election timeouts.
  Driver(boost::asio::any_io_executor aExecutor,
         Options aOptions,
         Callbacks aCallbacks,
         const Clock& aClock,
         uint64_t aSeed);
  ~Driver();

  /// Opens the data folder, loads the snapshot and starts the timers.
  /// @return Code::StorageLocked, Code::StorageCorrupt, Code::StorageFailed or
  /// Code::DiskFull; the message names the file and what to do.
  Result<void> Start();

  /// Stops timers and the disk thread; no callback runs afterwards. Proposals
  /// not done yet fail with Code::ProposalDropped before it returns.
  void Stop();

  /// Takes bytes that the driver of another control host sent.
  void Receive(const HostName& aFrom, std::string_view aBytes);

  /// Appends a command.
  /// @param aDone gets its index once the command is synced by a majority and
  /// applied here. Code::NotLeader, Code::Overloaded and Code::DiskFull: it was
  /// not appended. Code::ProposalDropped: it may still be committed, so the
  /// command must be idempotent if it is proposed again.
  void Propose(std::string aPayload, ProposeDone aDone);

  /// Whether this host leads and has applied all that was committed before.
  bool IsLeader() const;

  /// @return the leader that this host last heard, itself included.
  std::optional<HostName> LeaderHint() const;

  /// Whether this host follows a leader and has applied all that was committed
  /// before that leader's term (Replica::FollowsUpToDate).
  bool FollowsUpToDate() const;

  /// @return see Replica::AppendsHeard; 0 while this host does not run.
  uint64_t AppendsHeard() const;

  /// @return the identity in the data folder; set once Start succeeded.
  HostIdentity Identity() const;

  /// @return the newest instant at which this leader sent a message that a
  /// majority (this host included) has answered in its term: no other host led
  /// with a later term at that instant. Nothing while this host does not lead.
  std::optional<Instant> QuorumContact() const;

  /// Hands leadership to the follower that is furthest. Proposals are refused
  /// from now on.
  /// @param aDone called once this host does not lead, or after the longest
  /// election timeout if nobody could take over.
  void TransferLeadership(std::function<void()> aDone);

  /// @return this host's view of the group.
  GroupStatus Status() const;

  /// Adds a host that receives the log and does not vote.
  /// @param aDone Ok once committed. Code::NotLeader; Code::RevisionConflict
  /// while another change of the membership is not committed yet.
  void AddLearner(const Member& aMember, HostIdentity aIdentity, Done aDone);

  /// Makes a learner a voter. Refused with Code::RevisionConflict until it has
  /// caught up.
  void Promote(HostIdentity aIdentity, Done aDone);

  /// Takes a member out of the group.
  void Remove(HostIdentity aIdentity, Done aDone);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::consensus

/// Server of the feed, which carries the replicated state to entry hosts.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/outgoing_frame.h"
#include "gateway/state.h"
#include "net/frame_mesh.h"
#include "scheduling/link_meter.h"

namespace rattandyke::gateway {

/// Sends each subscriber a snapshot of the replicated state and then the
/// commands that are applied to it. A subscriber that reconnects with a recent
/// state gets only the commands that it lacks.
///
/// Every control host runs a FeedServer. So does every entry host, for entry
/// hosts that can't reach any control host. Snapshots and commands leave out
/// what only control hosts need; the operators' source texts of configuration
/// items alone are more than half of the bytes.
///
/// Pings confirm to subscribers that their state is up to date. A host that is
/// not known to be up to date sends none, and its subscribers turn to another
/// host. Otherwise a host that is partitioned from the leader would keep its
/// subscribers on an old state. Not thread-safe.
class FeedServer
{
public:
  using Connection = net::FrameMesh::Connection;

  /// Whether recent commands are kept while there are no subscribers.
  enum class IdleHistory
  {
    /// For control hosts: subscribers reconnect within seconds and need only
    /// the recent commands.
    Keep,
    /// For entry hosts: subscribers are rare and get a snapshot.
    Discard,
  };

  /// @param aState outlives this object.
  /// @param aLinkMeter counts the sent messages unless it is null; outlives
  /// this object.
  explicit FeedServer(const State& aState,
                      IdleHistory aIdleHistory = IdleHistory::Keep,
                      scheduling::LinkMeter* aLinkMeter = nullptr);

  /// Adds a subscriber, and sends it the commands after its index, or a
  /// snapshot and the commands after that.
  void Subscribe(const Connection& aConnection, const wire::FeedOpen& aOpen);

  /// Removes a subscriber. Does not close the connection.
  void Unsubscribe(const Connection& aConnection);

  /// Queues a command that the state has applied without an error. The next
  /// Flush sends it to the subscribers.
  void Publish(const wire::GatewayCommand& aCommand, LogIndex aIndex);

  /// @return the number of subscribers.
  size_t SubscriberCount() const { return mSubscribers.size(); }

  /// @return whether commands are queued for the next Flush.
  bool HasPendingCommands() const { return mPending.commands_size() > 0; }

  /// Sends the queued commands to the subscribers in one message.
  void Flush();

  /// @return the number of snapshots and batches of commands sent so far, each
  /// counted once per subscriber.
  uint64_t MessagesSent() const { return mMessagesSent; }

  /// @return the number of snapshots encoded so far.
  uint64_t SnapshotsEncoded() const { return mSnapshotsEncoded; }

  /// Discards the history after the state was loaded from a snapshot, and
  /// brings the subscribers up to date.
  void OnStateReplaced();

  /// Sends the queued commands and pings all subscribers.
  /// @param aControlHosts addresses of the current members of the control
  ///                      group.
  /// @param aAge          time since this host's state was last confirmed to be
  ///                      up to date; zero at a control host.
  void Ping(const std::vector<std::string>& aControlHosts, Duration aAge);

  /// Pings one subscriber. Used for a new subscriber, so that many that connect
  /// at the same time don't each cause a ping to all.
  void Ping(const Connection& aConnection,
            const std::vector<std::string>& aControlHosts,
            Duration aAge);

  /// Sends a digest of the demand to all subscribers.
  void SendDemandDigest(const wire::DemandDigest& aDigest);

  /// Closes the connections of all subscribers, so that they turn to another
  /// host at once. Called while this host is not known to be up to date.
  void CloseAll();

  /// Returns a LinkProbe at once, whatever the state of this host: its sender
  /// measures the delay of its own link. Ignores a probe that was returned.
  /// @param aFrame contains the probe.
  static void ReturnProbe(const Connection& aConnection,
                          wire::GatewayFrame aFrame);

  /// Marks a subscriber as an entry host that is shutting down.
  void MarkLeaving(const Connection& aConnection);

  /// @return the subscribers that are entry hosts and are not shutting down.
  std::vector<wire::EntryMember> ServingEntries() const;

private:
  struct Subscriber
  {
    /// Index of the last command that was sent.
    uint64_t sentIndex = 0;
    /// It has a newer state than this host and gets neither pings nor older
    /// commands.
    bool ahead = false;
    bool leaving = false;
    bool acceptsCompressed = false;
    wire::EntryMember entry;
    std::vector<std::string> controlHosts;
  };

  /// Consecutive commands encoded as one frame.
  struct Batch
  {
    uint64_t lastIndex = 0;
    size_t commandCount = 0;
    OutgoingFrame frame;
  };

  std::vector<Connection> Connections() const;
  /// Sends and counts a message.
  void Send(const Connection& aConnection, std::string_view aMessage);
  void SendTo(const Connection& aConnection,
              const Subscriber& aSubscriber,
              OutgoingFrame& aFrame);
  /// @return the limit of commands in the history.
  size_t MaxHistoryCommands() const;
  void ClearHistory();
  void CatchUp(const Connection& aConnection, Subscriber& aSubscriber);
  uint64_t SendSnapshot(const Connection& aConnection,
                        const Subscriber& aSubscriber);

  const State& mState;
  const IdleHistory mIdleHistory;
  scheduling::LinkMeter* const mLinkMeter;
  std::map<Connection, Subscriber> mSubscribers;
  /// Commands queued for the next Flush.
  wire::FeedCommands mPending;
  /// The most recent commands, oldest batch first.
  std::deque<Batch> mHistory;
  size_t mHistoryCommands = 0;
  /// Commands up to this index are not in mHistory.
  uint64_t mTrimmedIndex = 0;
  /// The last snapshot as a frame, its index, and the rounds of pings since it
  /// was last sent.
  std::optional<OutgoingFrame> mSnapshot;
  uint64_t mSnapshotIndex = 0;
  int mSnapshotIdlePings = 0;
  uint64_t mMessagesSent = 0;
  uint64_t mSnapshotsEncoded = 0;
};

} // namespace rattandyke::gateway

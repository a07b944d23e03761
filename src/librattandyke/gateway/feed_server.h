/// Tells entry hosts of the replicated state.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/outgoing_frame.h"
#include "gateway/state.h"
#include "net/frame_mesh.h"

namespace rattandyke::gateway {

/// Sends each subscriber the whole state once and then every command as it is
/// applied. Entry hosts serve others in the same way, which may be cut off from
/// all control hosts. Sent is the state without the operators' texts of items,
/// which only control hosts need: they are more than half of the bytes. Any
/// control host serves subscribers; it assures them of being up to date by
/// pings, and falls silent while it can't be sure. Then they turn to another
/// host: else a host on the wrong side of a cut would keep its subscribers on
/// an old state. Not thread-safe.
class FeedServer
{
public:
  using Connection = net::FrameMesh::Connection;

  /// Whether the newest commands are kept while nobody subscribes.
  enum class WhileAlone
  {
    /// Subscribers come back within seconds, and lack only these.
    Keep,
    /// Subscribers are few and seldom come; they get the whole state.
    Forget,
  };

  /// @param aState outlives this object.
  explicit FeedServer(const State& aState,
                      WhileAlone aWhileAlone = WhileAlone::Keep);

  /// A subscriber asks for what it lacks.
  void Open(const Connection& aConnection, const wire::FeedOpen& aOpen);
  void Close(const Connection& aConnection);

  /// A command was applied to the state and not refused by it. Subscribers are
  /// told with the next Flush.
  void AppliedIndex(const wire::GatewayCommand& aCommand, LogIndex aIndex);

  /// @return the number of subscribers.
  size_t Size() const { return mSubscribers.size(); }

  /// @return whether commands wait for a Flush.
  bool HasGathered() const { return mGathered.commands_size() > 0; }

  /// Tells subscribers what was applied since the last call, in one message.
  void Flush();

  /// @return messages sent to subscribers so far.
  uint64_t Messages() const { return mMessages; }

  /// @return how often a whole state was encoded.
  uint64_t Encodings() const { return mEncodings; }

  /// The state was replaced as a whole.
  void Reset();

  /// @param aControlHosts the group's members at this moment.
  /// @param aAge          time since this host was assured of the state; zero
  /// at a control host.
  void Ping(const std::vector<std::string>& aControlHosts, Duration aAge);

  /// The same to one subscriber. When all come at once, each must not cost a
  /// message to all.
  void Ping(const Connection& aConnection,
            const std::vector<std::string>& aControlHosts,
            Duration aAge);

  /// Sends all subscribers elsewhere: this host is not sure of its state.
  void CloseAll();

  /// A subscriber will serve no more callers.
  void Leave(const Connection& aConnection);

  /// @return the entry hosts that subscribe here and serve callers.
  std::vector<wire::EntryMember> Entries() const;

private:
  struct Subscriber
  {
    /// Index up to which it has been told.
    uint64_t told = 0;
    /// It knows a newer state than this host; it is told nothing older.
    bool ahead = false;
    bool leaving = false;
    bool readsPacked = false;
    wire::EntryMember entry;
    std::vector<std::string> controlHosts;
  };

  /// Commands that follow each other, as one frame.
  struct Batch
  {
    uint64_t last = 0;
    size_t commands = 0;
    OutgoingFrame frame;
  };

  std::vector<Connection> Connections() const;
  void SendTo(const Connection& aConnection,
              const Subscriber& aSubscriber,
              OutgoingFrame& aFrame);
  /// @return as many commands as a whole state has records, or a few more.
  size_t MostKept() const;
  void Forget();
  void Catch(const Connection& aConnection, Subscriber& aSubscriber);
  uint64_t SendWhole(const Connection& aConnection,
                     const Subscriber& aSubscriber);

  const State& mState;
  const WhileAlone mWhileAlone;
  std::map<Connection, Subscriber> mSubscribers;
  /// Applied, and not told yet.
  wire::FeedCommands mGathered;
  /// Newest commands.
  std::deque<Batch> mRecent;
  size_t mRecentCommands = 0;
  /// Commands up to this index are not among them.
  uint64_t mForgottenUpTo = 0;
  /// A whole state as a frame, and the pings since it was last sent.
  std::optional<OutgoingFrame> mWhole;
  uint64_t mWholeIndex = 0;
  int mWholeIdle = 0;
  uint64_t mMessages = 0;
  uint64_t mEncodings = 0;
};

} // namespace rattandyke::gateway

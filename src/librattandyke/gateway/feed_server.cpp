#include "gateway/feed_server.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace rattandyke::gateway {

namespace {

/// Commands kept for subscribers that reconnect within seconds; others get a
/// snapshot. The limit grows by one for each upstream instance, since up to
/// that number the commands are shorter than a snapshot.
constexpr size_t kMinHistoryCommands = 512;
/// Size limit in bytes of a command that is kept while there are no
/// subscribers.
constexpr size_t kMaxIdleCommandBytes = 4096;
/// A cached snapshot is sent only if the commands after it are at most this
/// many, or at most this fraction of the upstream instances. With more, a new
/// snapshot costs no more than the commands.
constexpr uint64_t kMinSnapshotTail = 128;
constexpr uint64_t kSnapshotTailDivisor = 4;
/// Rounds of pings for which an unused snapshot stays cached. During a rolling
/// restart, hosts request it a few tenths of a second apart.
constexpr int kMaxSnapshotIdlePings = 25;

/// Clears the operators' source texts of routes and services.
template<typename Items>
void
ClearSources(Items& aItems)
{
  for (auto& route : *aItems.mutable_routes()) {
    route.clear_source();
  }
  for (auto& service : *aItems.mutable_services()) {
    service.clear_source();
  }
}

/// Clears the fields of a snapshot that only control hosts need. Links of entry
/// hosts have a few Mbit/s, and an entry host can't serve callers before it has
/// received the snapshot.
void
StripForEntries(wire::GatewayState& aState)
{
  ClearSources(aState);
  aState.clear_ended();
  for (wire::ServiceRanges& ranges : *aState.mutable_ranges()) {
    for (wire::RangeSegment& segment : *ranges.mutable_segments()) {
      segment.clear_handover();
      segment.clear_fence();
      segment.clear_sequence();
    }
  }
}

/// Clears the fields of a command that only control hosts need.
void
StripForEntries(wire::GatewayCommand& aCommand)
{
  const auto clearHandovers = [](auto& aRanges) {
    for (wire::KeyRange& range : aRanges) {
      range.clear_handover();
    }
  };
  if (aCommand.has_change_items()) {
    ClearSources(*aCommand.mutable_change_items());
  } else if (aCommand.has_grant_ranges()) {
    clearHandovers(*aCommand.mutable_grant_ranges()->mutable_ranges());
  } else if (aCommand.has_free_ranges()) {
    clearHandovers(*aCommand.mutable_free_ranges()->mutable_ranges());
  }
}

} // namespace

FeedServer::FeedServer(const State& aState,
                       IdleHistory aIdleHistory,
                       scheduling::LinkMeter* aLinkMeter)
  : mState(aState)
  , mIdleHistory(aIdleHistory)
  , mLinkMeter(aLinkMeter)
{
}

void
FeedServer::Send(const Connection& aConnection, std::string_view aMessage)
{
  if (mLinkMeter != nullptr) {
    mLinkMeter->Record(scheduling::LinkUse::Feed,
                       scheduling::LinkDirection::Out,
                       aMessage.size());
  }
  aConnection->Send(aMessage);
}

void
FeedServer::SendTo(const Connection& aConnection,
                   const Subscriber& aSubscriber,
                   OutgoingFrame& aFrame)
{
  ++mMessagesSent;
  Send(aConnection,
       aSubscriber.acceptsCompressed ? aFrame.Compressed()
                                     : aFrame.Serialized());
}

size_t
FeedServer::MaxHistoryCommands() const
{
  return kMinHistoryCommands + mState.Instances().size();
}

void
FeedServer::Subscribe(const Connection& aConnection,
                      const wire::FeedOpen& aOpen)
{
  Flush();
  Subscriber& subscriber = mSubscribers[aConnection];
  subscriber.sentIndex = aOpen.applied();
  subscriber.entry = aOpen.entry();
  subscriber.acceptsCompressed = aOpen.reads_packed();
  CatchUp(aConnection, subscriber);
}

void
FeedServer::Unsubscribe(const Connection& aConnection)
{
  mSubscribers.erase(aConnection);
}

void
FeedServer::CloseAll()
{
  const std::map<Connection, Subscriber> subscribers = std::move(mSubscribers);
  mSubscribers.clear();
  for (const auto& [connection, unused] : subscribers) {
    connection->Close();
  }
}

void
FeedServer::MarkLeaving(const Connection& aConnection)
{
  const auto found = mSubscribers.find(aConnection);
  if (found != mSubscribers.end()) {
    found->second.leaving = true;
  }
}

std::vector<wire::EntryMember>
FeedServer::ServingEntries() const
{
  std::vector<wire::EntryMember> entries;
  for (const auto& [connection, subscriber] : mSubscribers) {
    if (!subscriber.leaving && !subscriber.entry.address().empty()) {
      entries.push_back(subscriber.entry);
    }
  }
  return entries;
}

/// Sends the cached snapshot, or encodes a new one if too many commands follow
/// the cached one. After a restart of all hosts, every entry requests a
/// snapshot in the same second. If it were encoded for each of them, a leader
/// with half a core would miss its heartbeats and lose the leadership, and so
/// would its successor.
/// @return the index of the snapshot. The caller sends the commands after it.
uint64_t
FeedServer::SendSnapshot(const Connection& aConnection,
                         const Subscriber& aSubscriber)
{
  const uint64_t applied = mState.AppliedIndex().value;
  const uint64_t maxTail = std::max(
    kMinSnapshotTail, mState.Instances().size() / kSnapshotTailDivisor);
  const bool reusable = mSnapshot && mSnapshotIndex >= mTrimmedIndex &&
                        mSnapshotIndex + maxTail >= applied;
  if (!reusable) {
    wire::GatewayFrame frame;
    wire::GatewayState& state = *frame.mutable_feed_snapshot()->mutable_state();
    state = mState.Save();
    StripForEntries(state);
    mSnapshot.emplace(frame);
    mSnapshotIndex = applied;
    ++mSnapshotsEncoded;
    log::Line(log::Part::Control, log::Severity::Info)
      << "encoded a snapshot of the state at index " << applied << " in "
      << mSnapshot->Serialized().size() << " bytes";
  }
  mSnapshotIdlePings = 0;
  SendTo(aConnection, aSubscriber, *mSnapshot);
  return mSnapshotIndex;
}

void
FeedServer::CatchUp(const Connection& aConnection, Subscriber& aSubscriber)
{
  const uint64_t applied = mState.AppliedIndex().value;
  aSubscriber.ahead = aSubscriber.sentIndex > applied;
  if (aSubscriber.sentIndex >= applied) {
    return;
  }
  const bool inHistory =
    aSubscriber.sentIndex > 0 && aSubscriber.sentIndex >= mTrimmedIndex;
  const uint64_t sentUpTo =
    inHistory ? aSubscriber.sentIndex : SendSnapshot(aConnection, aSubscriber);
  for (Batch& batch : mHistory) {
    if (batch.lastIndex > sentUpTo) {
      SendTo(aConnection, aSubscriber, batch.frame);
    }
  }
  aSubscriber.sentIndex = applied;
}

void
FeedServer::Publish(const wire::GatewayCommand& aCommand, LogIndex aIndex)
{
  const bool discard = mIdleHistory == IdleHistory::Discard ||
                       aCommand.ByteSizeLong() > kMaxIdleCommandBytes;
  if (mSubscribers.empty() && discard) {
    // Saves encoding commands that are unlikely to be requested.
    ClearHistory();
    return;
  }
  wire::FeedCommand* pending = mPending.add_commands();
  pending->set_index(aIndex.value);
  *pending->mutable_command() = aCommand;
  StripForEntries(*pending->mutable_command());
}

/// Commands that were applied within a few milliseconds share one message,
/// which is encoded once. While thousands of upstreams register, a message for
/// each command and each of a hundred subscribers would keep a control host
/// busy with writes.
void
FeedServer::Flush()
{
  if (!HasPendingCommands()) {
    return;
  }
  const auto commandCount = static_cast<size_t>(mPending.commands_size());
  const uint64_t lastIndex = mPending.commands().rbegin()->index();
  wire::GatewayFrame frame;
  if (commandCount == 1) {
    *frame.mutable_feed_command() = std::move(*mPending.mutable_commands(0));
  } else {
    *frame.mutable_feed_commands() = std::move(mPending);
  }
  mPending.Clear();
  mHistory.push_back({ lastIndex, commandCount, OutgoingFrame(frame) });
  mHistoryCommands += commandCount;
  while (mHistory.size() > 1 && mHistoryCommands > MaxHistoryCommands()) {
    mTrimmedIndex = mHistory.front().lastIndex;
    mHistoryCommands -= mHistory.front().commandCount;
    mHistory.pop_front();
  }
  OutgoingFrame& newestFrame = mHistory.back().frame;
  for (const Connection& connection : Connections()) {
    const auto found = mSubscribers.find(connection);
    if (found == mSubscribers.end() || found->second.sentIndex >= lastIndex) {
      continue;
    }
    found->second.ahead = false;
    found->second.sentIndex = lastIndex;
    SendTo(connection, found->second, newestFrame);
  }
}

/// Discards queued and kept commands and the cached snapshot. New subscribers
/// get a snapshot.
void
FeedServer::ClearHistory()
{
  mPending.Clear();
  mHistory.clear();
  mHistoryCommands = 0;
  mSnapshot.reset();
  mTrimmedIndex = mState.AppliedIndex().value;
}

void
FeedServer::OnStateReplaced()
{
  ClearHistory();
  for (const Connection& connection : Connections()) {
    const auto found = mSubscribers.find(connection);
    if (found != mSubscribers.end()) {
      CatchUp(connection, found->second);
    }
  }
}

void
FeedServer::Ping(const std::vector<std::string>& aControlHosts, Duration aAge)
{
  Flush();
  if (mSnapshot && ++mSnapshotIdlePings > kMaxSnapshotIdlePings) {
    mSnapshot.reset();
  }
  for (const Connection& connection : Connections()) {
    Ping(connection, aControlHosts, aAge);
  }
}

void
FeedServer::Ping(const Connection& aConnection,
                 const std::vector<std::string>& aControlHosts,
                 Duration aAge)
{
  const auto found = mSubscribers.find(aConnection);
  if (found == mSubscribers.end() || found->second.ahead) {
    return;
  }
  wire::GatewayFrame frame;
  wire::FeedPing* ping = frame.mutable_feed_ping();
  ping->set_applied(mState.AppliedIndex().value);
  ping->set_age_ms(static_cast<uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count()));
  if (found->second.controlHosts != aControlHosts) {
    found->second.controlHosts = aControlHosts;
    for (const std::string& host : aControlHosts) {
      ping->add_control_hosts(host);
    }
  }
  Send(aConnection, frame.SerializeAsString());
}

void
FeedServer::ReturnProbe(const Connection& aConnection,
                        wire::GatewayFrame aFrame)
{
  if (aFrame.link_probe().reply()) {
    return; // Two hosts must not send a probe to each other forever.
  }
  aFrame.mutable_link_probe()->set_reply(true);
  aConnection->Send(aFrame.SerializeAsString());
}

void
FeedServer::SendDemandDigest(const wire::DemandDigest& aDigest)
{
  wire::GatewayFrame frame;
  *frame.mutable_demand_digest() = aDigest;
  OutgoingFrame outgoing(frame);
  for (const Connection& connection : Connections()) {
    const auto found = mSubscribers.find(connection);
    if (found != mSubscribers.end()) {
      Send(connection,
           found->second.acceptsCompressed ? outgoing.Compressed()
                                           : outgoing.Serialized());
    }
  }
}

/// @return a copy of the subscribers' connections. A send to a subscriber whose
/// queue is full closes its connection, which removes it from mSubscribers, so
/// loops that send must not iterate over the map.
std::vector<FeedServer::Connection>
FeedServer::Connections() const
{
  std::vector<Connection> connections;
  connections.reserve(mSubscribers.size());
  for (const auto& [connection, unused] : mSubscribers) {
    connections.push_back(connection);
  }
  return connections;
}

} // namespace rattandyke::gateway

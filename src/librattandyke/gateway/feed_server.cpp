#include "gateway/feed_server.h"

#include <algorithm>
#include <utility>

#include "log/log.h"

namespace rattandyke::gateway {

namespace {

/// Enough for a subscriber that comes back within seconds; others get the whole
/// state. Of a large state as many commands are kept as it has records: up to
/// there they are shorter.
constexpr size_t kLeastRecent = 512;
/// A longer command is not kept while nobody subscribes.
constexpr size_t kKeptForNobody = 4096;
/// A whole state is encoded anew rather than followed by more commands than
/// this, and than this part of its records: encoding costs what they all do.
constexpr uint64_t kLeastTail = 128;
constexpr uint64_t kTailPart = 4;
/// Pings for which a whole state is kept that nobody asked for: while hosts are
/// restarted one after the other, each asks a few tenths of a second after the
/// one before.
constexpr int kWholeKept = 25;

/// Takes the operators' texts out of items.
template<typename Items>
void
DropSources(Items& aItems)
{
  for (auto& route : *aItems.mutable_routes()) {
    route.clear_source();
  }
  for (auto& service : *aItems.mutable_services()) {
    service.clear_source();
  }
}

/// Takes out what only control hosts need: entries have a few Mbit/s, over
/// which a whole state must come before they serve anyone.
void
StripForEntries(wire::GatewayState& aState)
{
  DropSources(aState);
  aState.clear_ended();
  for (wire::ServiceRanges& ranges : *aState.mutable_ranges()) {
    for (wire::RangeSegment& segment : *ranges.mutable_segments()) {
      segment.clear_handover();
      segment.clear_fence();
      segment.clear_sequence();
    }
  }
}

/// The same for one command of the log.
void
StripForEntries(wire::GatewayCommand& aCommand)
{
  const auto dropHandovers = [](auto& aRanges) {
    for (wire::KeyRange& range : aRanges) {
      range.clear_handover();
    }
  };
  if (aCommand.has_change_items()) {
    DropSources(*aCommand.mutable_change_items());
  } else if (aCommand.has_grant_ranges()) {
    dropHandovers(*aCommand.mutable_grant_ranges()->mutable_ranges());
  } else if (aCommand.has_free_ranges()) {
    dropHandovers(*aCommand.mutable_free_ranges()->mutable_ranges());
  }
}

} // namespace

FeedServer::FeedServer(const State& aState, WhileAlone aWhileAlone)
  : mState(aState)
  , mWhileAlone(aWhileAlone)
{
}

void
FeedServer::SendTo(const Connection& aConnection,
                   const Subscriber& aSubscriber,
                   OutgoingFrame& aFrame)
{
  ++mMessages;
  aConnection->Send(aSubscriber.readsPacked ? aFrame.Compressed()
                                            : aFrame.Plain());
}

size_t
FeedServer::MostKept() const
{
  return kLeastRecent + mState.Instances().size();
}

void
FeedServer::Open(const Connection& aConnection, const wire::FeedOpen& aOpen)
{
  Flush();
  Subscriber& subscriber = mSubscribers[aConnection];
  subscriber.told = aOpen.applied();
  subscriber.entry = aOpen.entry();
  subscriber.readsPacked = aOpen.reads_packed();
  Catch(aConnection, subscriber);
}

void
FeedServer::Close(const Connection& aConnection)
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
FeedServer::Leave(const Connection& aConnection)
{
  const auto found = mSubscribers.find(aConnection);
  if (found != mSubscribers.end()) {
    found->second.leaving = true;
  }
}

std::vector<wire::EntryMember>
FeedServer::Entries() const
{
  std::vector<wire::EntryMember> entries;
  for (const auto& [connection, subscriber] : mSubscribers) {
    if (!subscriber.leaving && !subscriber.entry.address().empty()) {
      entries.push_back(subscriber.entry);
    }
  }
  return entries;
}

/// Safeguard: after a restart of all hosts every entry asks for the whole state
/// in the same second. Encoded for each of them, it would keep a leader with
/// half a core so busy that it is deposed, and its successor, too; encoded
/// once, the newest commands bring it up to date.
/// @return the index of the state that was sent.
uint64_t
FeedServer::SendWhole(const Connection& aConnection,
                      const Subscriber& aSubscriber)
{
  const uint64_t applied = mState.AppliedIndex().value;
  const uint64_t longestTail =
    std::max(kLeastTail, mState.Instances().size() / kTailPart);
  const bool usable = mWhole && mWholeIndex >= mForgottenUpTo &&
                      mWholeIndex + longestTail >= applied;
  if (!usable) {
    wire::GatewayFrame frame;
    wire::GatewayState& state = *frame.mutable_feed_snapshot()->mutable_state();
    state = mState.Save();
    StripForEntries(state);
    mWhole.emplace(frame);
    mWholeIndex = applied;
    ++mEncodings;
    log::Line(log::Part::Control, log::Severity::Info)
      << "encodes the state at index " << applied << " in "
      << mWhole->Plain().size() << " bytes";
  }
  mWholeIdle = 0;
  SendTo(aConnection, aSubscriber, *mWhole);
  return mWholeIndex;
}

void
FeedServer::Catch(const Connection& aConnection, Subscriber& aSubscriber)
{
  const uint64_t applied = mState.AppliedIndex().value;
  aSubscriber.ahead = aSubscriber.told > applied;
  if (aSubscriber.told >= applied) {
    return;
  }
  const bool recent =
    aSubscriber.told > 0 && aSubscriber.told >= mForgottenUpTo;
  const uint64_t from =
    recent ? aSubscriber.told : SendWhole(aConnection, aSubscriber);
  for (Batch& batch : mRecent) {
    if (batch.last > from) {
      SendTo(aConnection, aSubscriber, batch.frame);
    }
  }
  aSubscriber.told = applied;
}

void
FeedServer::AppliedIndex(const wire::GatewayCommand& aCommand, LogIndex aIndex)
{
  const bool forget = mWhileAlone == WhileAlone::Forget ||
                      aCommand.ByteSizeLong() > kKeptForNobody;
  if (mSubscribers.empty() && forget) {
    // An entry host seldom has subscribers, and its thread has better to do.
    Forget();
    return;
  }
  wire::FeedCommand* gathered = mGathered.add_commands();
  gathered->set_index(aIndex.value);
  *gathered->mutable_command() = aCommand;
  StripForEntries(*gathered->mutable_command());
}

/// Safeguard: while thousands of upstreams register, each command sent alone to
/// each of a hundred subscribers keeps a control host busy with writes. What
/// was applied within a few milliseconds is one message, encoded once.
void
FeedServer::Flush()
{
  if (!HasGathered()) {
    return;
  }
  const auto commands = static_cast<size_t>(mGathered.commands_size());
  const uint64_t last = mGathered.commands().rbegin()->index();
  wire::GatewayFrame frame;
  if (commands == 1) {
    *frame.mutable_feed_command() = std::move(*mGathered.mutable_commands(0));
  } else {
    *frame.mutable_feed_commands() = std::move(mGathered);
  }
  mGathered.Clear();
  mRecent.push_back({ last, commands, OutgoingFrame(frame) });
  mRecentCommands += commands;
  while (mRecent.size() > 1 && mRecentCommands > MostKept()) {
    mForgottenUpTo = mRecent.front().last;
    mRecentCommands -= mRecent.front().commands;
    mRecent.pop_front();
  }
  OutgoingFrame& newest = mRecent.back().frame;
  for (const Connection& connection : Connections()) {
    const auto found = mSubscribers.find(connection);
    if (found == mSubscribers.end() || found->second.told >= last) {
      continue;
    }
    found->second.ahead = false;
    found->second.told = last;
    SendTo(connection, found->second, newest);
  }
}

/// Who subscribes from now on gets the whole state.
void
FeedServer::Forget()
{
  mGathered.Clear();
  mRecent.clear();
  mRecentCommands = 0;
  mWhole.reset();
  mForgottenUpTo = mState.AppliedIndex().value;
}

void
FeedServer::Reset()
{
  Forget();
  for (const Connection& connection : Connections()) {
    const auto found = mSubscribers.find(connection);
    if (found != mSubscribers.end()) {
      Catch(connection, found->second);
    }
  }
}

void
FeedServer::Ping(const std::vector<std::string>& aControlHosts, Duration aAge)
{
  Flush();
  if (mWhole && ++mWholeIdle > kWholeKept) {
    mWhole.reset();
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
  aConnection->Send(frame.SerializeAsString());
}

/// A subscriber whose queue is full closes, which ends its entry in the map; so
/// who sends to all goes by this list.
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

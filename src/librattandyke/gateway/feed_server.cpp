#include "gateway/feed_server.h"

namespace rattandyke::gateway {

namespace {

/// Enough for a subscriber that comes back within seconds; others get the whole
/// state.
constexpr size_t kRecentCommands = 512;

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

} // namespace

FeedServer::FeedServer(const State& aState)
  : mState(aState)
{
}

void
FeedServer::Open(const Connection& aConnection, const wire::FeedOpen& aOpen)
{
  Subscriber& subscriber = mSubscribers[aConnection];
  subscriber.told = aOpen.applied();
  subscriber.entry = aOpen.entry();
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

void
FeedServer::Catch(const Connection& aConnection, Subscriber& aSubscriber)
{
  const uint64_t applied = mState.Applied().value;
  aSubscriber.ahead = aSubscriber.told > applied;
  if (aSubscriber.told >= applied) {
    return;
  }
  const bool recent = aSubscriber.told > 0 && !mRecent.empty() &&
                      mRecent.front().first <= aSubscriber.told;
  if (recent) {
    for (const auto& [index, frame] : mRecent) {
      if (index > aSubscriber.told) {
        aConnection->Send(frame);
      }
    }
  } else {
    wire::GatewayFrame frame;
    wire::GatewayState& state = *frame.mutable_feed_snapshot()->mutable_state();
    state = mState.Save();
    DropSources(state);
    state.clear_ended_instances();
    aConnection->Send(frame.SerializeAsString());
  }
  aSubscriber.told = applied;
}

void
FeedServer::Applied(const wire::GatewayCommand& aCommand, LogIndex aIndex)
{
  wire::GatewayFrame frame;
  frame.mutable_feed_command()->set_index(aIndex.value);
  wire::GatewayCommand& command =
    *frame.mutable_feed_command()->mutable_command();
  command = aCommand;
  if (command.has_change_items()) {
    DropSources(*command.mutable_change_items());
  }
  mRecent.emplace_back(aIndex.value, frame.SerializeAsString());
  if (mRecent.size() > kRecentCommands) {
    mRecent.pop_front();
  }
  const std::string& bytes = mRecent.back().second;
  // A subscriber whose queue is full closes, which ends its entry in the map.
  const std::map<Connection, Subscriber> subscribers = mSubscribers;
  for (const auto& [connection, unused] : subscribers) {
    const auto found = mSubscribers.find(connection);
    if (found == mSubscribers.end() || found->second.told >= aIndex.value) {
      continue;
    }
    if (found->second.ahead) {
      found->second.ahead = false;
    }
    found->second.told = aIndex.value;
    connection->Send(bytes);
  }
}

void
FeedServer::Reset()
{
  mRecent.clear();
  const std::map<Connection, Subscriber> subscribers = mSubscribers;
  for (const auto& [connection, unused] : subscribers) {
    const auto found = mSubscribers.find(connection);
    if (found != mSubscribers.end()) {
      Catch(connection, found->second);
    }
  }
}

void
FeedServer::Ping(const std::vector<std::string>& aControlHosts, Duration aAge)
{
  const std::map<Connection, Subscriber> subscribers = mSubscribers;
  for (const auto& [connection, unused] : subscribers) {
    const auto found = mSubscribers.find(connection);
    if (found == mSubscribers.end() || found->second.ahead) {
      continue;
    }
    wire::GatewayFrame frame;
    wire::FeedPing* ping = frame.mutable_feed_ping();
    ping->set_applied(mState.Applied().value);
    ping->set_age_ms(static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(aAge).count()));
    if (found->second.controlHosts != aControlHosts) {
      found->second.controlHosts = aControlHosts;
      for (const std::string& host : aControlHosts) {
        ping->add_control_hosts(host);
      }
    }
    connection->Send(frame.SerializeAsString());
  }
}

} // namespace rattandyke::gateway

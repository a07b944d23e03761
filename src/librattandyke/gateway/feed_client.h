/// An entry host's copy of the replicated state.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/state.h"

namespace rattandyke::gateway {

/// Subscribes to one control host after another until one assures it of being
/// up to date, and keeps to that, or to one in its own data centre. If none
/// does, it turns to other entry hosts: one that is cut off from all control
/// hosts would else go by an old state, though others that it reaches know the
/// new one. Never goes back to an older state in one life of the process. Runs
/// on one executor that runs one handler at a time.
class FeedClient
{
public:
  struct Options
  {
    /// This host, as other hosts are to know it.
    wire::EntryMember self;
    /// Control hosts to ask first, as addresses for peers.
    std::vector<Endpoint> seeds;
  };

  /// @param aChanged called after each change of the state, with the command
  /// that made it, or nullptr if the state was replaced as a whole.
  FeedClient(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             std::function<void(const wire::GatewayCommand*)> aChanged,
             const Clock& aClock,
             uint64_t aSeed);
  ~FeedClient();

  void Start();
  void Stop();

  /// Replaces the seeds, which may be exchanged while the host runs.
  void SetSeeds(std::vector<Endpoint> aSeeds);

  const State& CurrentState() const;

  /// @return whether a state has been received at all.
  bool HasState() const;

  /// @return time since a control host last assured that the state is the
  /// newest.
  Duration StateAge() const;

  /// @return the control hosts that the group has, as last heard.
  const std::vector<std::string>& ControlHosts() const;

  /// Tells the control hosts how busy keys and upstreams are.
  void Report(const wire::FeedReport& aReport);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway

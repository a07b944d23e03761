/// Client of the feed, which keeps an entry host's copy of the replicated
/// state.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/state.h"
#include "scheduling/link_meter.h"

namespace rattandyke::gateway {

/// Connects to one control host after another until one confirms by a ping that
/// it is up to date, and then stays connected to it. A client that is connected
/// to another data centre moves to a control host in its own as soon as it
/// knows one. If no control host is reachable and up to date, the client tries
/// entry hosts, since one of them may receive the feed.
///
/// The state never goes back to an older index while the process runs. All
/// methods and callbacks run on the executor, which must run one handler at a
/// time.
class FeedClient
{
public:
  struct Options
  {
    /// Address and data centre of this host, as sent to other hosts.
    wire::EntryMember self;
    /// Peer addresses of the control hosts to try first.
    std::vector<Endpoint> seeds;
    /// Counts the feed's traffic unless it is null; outlives this object.
    scheduling::LinkMeter* linkMeter = nullptr;
    /// Called with the id of each LinkProbe that is returned, unless empty.
    std::function<void(uint64_t)> onProbeReply{};
    /// Called with each digest of the demand that arrives, unless it is empty.
    std::function<void(const wire::DemandDigest&)> onDemandDigest = {};
    /// Called with the rests of upstreams that a control host knows of this
    /// host, unless it is empty. A control host sends them before the state.
    std::function<void(const wire::UpstreamRests&)> onRests = {};
    /// Called for each message that can't be read, unless it is empty.
    std::function<void()> onUnreadable = {};
  };

  /// @param aOnStateChanged called after each change of the state, with the
  /// command that was applied, or nullptr if a snapshot replaced the state.
  /// @param aSeed for the random choice of hosts and delays.
  FeedClient(boost::asio::any_io_executor aExecutor,
             Options aOptions,
             std::function<void(const wire::GatewayCommand*)> aOnStateChanged,
             const Clock& aClock,
             uint64_t aSeed);
  ~FeedClient();

  void Start();
  void Stop();

  /// Replaces Options::seeds while the client runs.
  void SetSeeds(std::vector<Endpoint> aSeeds);

  /// @return the newest state received; empty before HasState().
  const State& CurrentState() const;

  /// @return whether any state has been received.
  bool HasState() const;

  /// @return the time since a control host was last known to be up to date with
  /// this state.
  Duration StateAge() const;

  /// @return addresses of the members of the control group, as of the last ping
  /// that listed them.
  const std::vector<std::string>& ControlHosts() const;

  /// Sends a load report to the connected host, if there is one.
  void Report(const wire::FeedReport& aReport);

  /// Sends rests of upstreams to the connected host, if there is one.
  void ReportRests(const wire::UpstreamRests& aRests);

  /// Sends reports about requests that may crash upstreams to the connected
  /// host, if there is one.
  void ReportCrashes(const wire::CrashReports& aReports);

  /// @return the number of the connection to a host that has confirmed the
  /// state, if there is one. Each connection has another number.
  std::optional<uint64_t> ConfirmedConnection() const;

  /// Sends a LinkProbe to the connected host, if there is one. Control hosts
  /// return it at once; entry hosts and older builds ignore it.
  void SendProbe(uint64_t aId);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::gateway

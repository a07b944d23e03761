/// The control role of one host: its replica of the log, the state built from
/// it, and, while it leads, leases and grants.
#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "base/clock.h"
#include "consensus/types.h"
#include "control/lease_options.h"
#include "net/peer_transport.h"
#include "wire/peer.pb.h"

namespace rattandyke::control {

/// Joins consensus::Driver, State and Coordinator to the transport. Everything
/// runs on one strand of the executor; Handle, Shutdown and StatusJson may be
/// called from any thread.
class ControlService
{
public:
  struct Options
  {
    HostName name;
    DataCentre dataCentre;
    /// Every control host of the settings, this one too.
    std::vector<consensus::Member> controlHosts;
    std::filesystem::path dataFolder;
    LeaseOptions leases;
  };

  /// @param aTransport outlives the service; its receiver passes heartbeats,
  /// call requests and consensus messages to Handle.
  /// @param aSeed of the random election timeouts.
  ControlService(const boost::asio::any_io_executor& aExecutor,
                 Options aOptions,
                 net::PeerTransport& aTransport,
                 const Clock& aClock,
                 uint64_t aSeed);
  ~ControlService();

  /// Opens the data folder and joins the control group. To be called before
  /// any thread runs the executor.
  /// @return an error of the data folder; the message says what to do.
  Result<void> Start();

  /// Takes a heartbeat, call_request or consensus message; others are ignored.
  /// A host that does not lead answers not-leader with a hint.
  void Handle(const wire::Envelope& aEnvelope);

  /// Hands leadership over, if this host leads, then stops.
  /// @param aDone called once on the strand; nothing happens afterwards.
  void Shutdown(std::function<void()> aDone);

  /// @return identity of the data folder, for heartbeats; set after Start.
  HostIdentity Identity() const;

  /// @return this host's view of the control group, as a JSON object.
  std::string StatusJson() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::control

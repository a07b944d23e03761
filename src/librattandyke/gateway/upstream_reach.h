/// Which upstreams an entry host can reach.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/upstream_client.h"

namespace rattandyke::gateway {

/// How an attempt failed without a response of the upstream.
enum class PathFailure : uint8_t
{
  /// No connection could be established.
  NoConnection,
  /// The connection broke, or no response arrived in time.
  NoResponse,
};

/// Tracks which upstreams this host can reach, by its own attempts. A partition
/// can separate a host from upstreams that other hosts reach, so a failure here
/// does not mean that the upstream is down. Does no I/O. Not thread-safe.
///
/// An upstream is unreachable once a connection to it could not be established.
/// A whole service is lost once kMinFailed of its upstreams have failed since
/// the last response of any: they are unlikely to be down at the same time.
/// Both end with a response, or with a successful probe. While the host can't
/// reach an upstream, another host may relay its requests, see RequestRelay.
class UpstreamReach
{
public:
  /// An upstream to which a connection should be tried.
  struct Probe
  {
    std::string service;
    std::string instance;
  };

  /// Beginning or end of the loss of a service.
  struct Change
  {
    std::string service;
    bool lost = false;
    /// Upstreams that have failed.
    size_t failed = 0;
    /// Time for which the service was lost.
    Duration lostFor{};
  };

  /// @param aSeed for the choice of the upstreams that are probed.
  explicit UpstreamReach(uint64_t aSeed);

  /// Records a response to an attempt of this host.
  /// @param aNewConnection the connection was opened for the attempt.
  void RecordResponse(const std::string& aService,
                      const std::string& aInstance,
                      bool aNewConnection,
                      Instant aNow);

  /// Records an attempt of this host that failed without a response.
  void RecordFailure(const std::string& aService,
                     const UpstreamProcess& aProcess,
                     PathFailure aFailure,
                     Instant aNow);

  /// Records that other hosts can't reach the upstream either.
  void RecordUnreachableForOthers(const std::string& aService,
                                  const std::string& aInstance,
                                  Instant aNow);

  /// @param aHasConnection whether this host has an idle connection to it.
  /// @return whether a request may be sent to the upstream by this host.
  bool CanReach(const std::string& aService,
                const std::string& aInstance,
                bool aHasConnection) const;

  /// @return whether other hosts were lately found unable to reach the
  /// upstream, too.
  bool IsUnreachableForOthers(const std::string& aService,
                              const std::string& aInstance,
                              Instant aNow) const;

  /// @return whether this host can reach no upstream of the service.
  bool IsLost(const std::string& aService) const;

  /// @return whether the service is lost and connections to its upstreams could
  /// not be established. Otherwise its upstreams may only be slow.
  bool HasNoPath(const std::string& aService) const;

  /// @return the number of lost services, and of upstreams that are unreachable
  /// by themselves.
  size_t LostServices() const;
  size_t UnreachableInstances() const;

  /// @return the probes to start now. RecordProbe must follow for each.
  std::vector<Probe> TakeProbes(Instant aNow);

  /// Records the end of a probe.
  void RecordProbe(const Probe& aProbe, bool aReached, Instant aNow);

  /// @return what has changed since the last call, for the log.
  std::vector<Change> TakeChanges();

  /// Removes upstreams that are no longer registered.
  /// @param aIsRegistered bool(const std::string& aInstance).
  template<typename IsRegistered>
  void RemoveUnregistered(IsRegistered aIsRegistered)
  {
    for (auto& [name, service] : mServices) {
      std::erase_if(service.failed, [&](const auto& aItem) {
        return !aIsRegistered(aItem.first);
      });
    }
  }

  /// An upstream was added or changed. What is known of an earlier incarnation
  /// is forgotten.
  void OnInstance(const std::string& aInstance, uint64_t aIncarnation);

  /// Number of upstreams of a service that must fail for it to be lost.
  static constexpr size_t kMinFailed = 2;
  /// Time within which they must have failed.
  static constexpr std::chrono::milliseconds kFailureWindow{ 3000 };
  /// Interval of probes: of a lost service, and of an unreachable upstream,
  /// which doubles up to the longest one.
  static constexpr std::chrono::milliseconds kProbeInterval{ 500 };
  static constexpr std::chrono::milliseconds kMaxProbeInterval{ 2000 };

private:
  /// An upstream that has failed.
  struct Failed
  {
    uint64_t incarnation = 0;
    Instant at{};
    /// No connection could be established, and none has been since.
    bool unreachable = false;
    bool probing = false;
    Instant nextProbeAt{};
    Duration probeInterval = kProbeInterval;
    Instant unreachableForOthersUntil{};
  };

  struct Service
  {
    std::map<std::string, Failed> failed;
    /// Failures before this time don't count for the loss of the service.
    Instant countedFrom{};
    bool lost = false;
    bool probing = false;
    Instant lostSince{};
    Instant nextProbeAt{};
  };

  const Failed* FindFailed(const std::string& aService,
                           const std::string& aInstance) const;
  void CheckLost(const std::string& aName, Service& aService, Instant aNow);
  /// Ends the loss of a service. Upstreams that failed during the loss, or just
  /// before it, are tried again.
  void EndLoss(const std::string& aName, Service& aService, Instant aNow);

  Random mRandom;
  std::map<std::string, Service> mServices;
  std::vector<Change> mChanges;
};

} // namespace rattandyke::gateway

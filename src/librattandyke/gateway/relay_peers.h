/// Choice of the entry hosts that relay requests for this one.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "base/clock.h"
#include "gateway/state.h"

namespace rattandyke::gateway {

/// Keeps what this host knows of the other entry hosts as relays: which of them
/// have lately agreed to relay requests for a service, and which could not.
/// Only hosts that were asked have an entry. Does no I/O. Not thread-safe.
class RelayPeers
{
public:
  /// @param aSelf       address of this host, which is no relay for itself.
  /// @param aDataCentre of this host.
  RelayPeers(std::string aSelf, DataCentre aDataCentre, uint64_t aSeed);

  /// @param aExcluded hosts that must not be chosen.
  /// @return the host with the fewest requests of this host among those that
  /// have lately agreed to relay requests for the service; empty: none.
  std::string Confirmed(const std::string& aService,
                        const std::set<std::string>& aExcluded,
                        Instant aNow);

  /// @return the number of hosts that have lately agreed.
  size_t ConfirmedCount(const std::string& aService, Instant aNow) const;

  /// Chooses hosts to be asked, at random: those in this host's data centre
  /// first, then those in the upstream's, since a detour over a third one costs
  /// most.
  /// @param aUpstreamDataCentre of the upstream.
  /// @return their addresses, at most aCount.
  std::vector<std::string> Candidates(const State& aState,
                                      const std::string& aService,
                                      const std::string& aUpstreamDataCentre,
                                      const std::set<std::string>& aExcluded,
                                      size_t aCount,
                                      Instant aNow);

  /// The host has agreed to relay a request for the service, or has relayed
  /// one.
  void OnAgreed(const std::string& aPeer,
                const std::string& aService,
                Instant aNow);
  /// The host can't reach the service.
  void OnNoPath(const std::string& aPeer,
                const std::string& aService,
                Instant aNow);
  /// The host can't carry more at present.
  void OnBusy(const std::string& aPeer, Instant aNow);
  /// The host has not answered, or the connection to it ended.
  /// @return the time for which it is not asked.
  Duration OnSilent(const std::string& aPeer, Instant aNow);

  /// Counts the requests that a host relays for this one.
  void OnRequestStarted(const std::string& aPeer);
  void OnRequestEnded(const std::string& aPeer);

  /// Removes what is outdated. Must be called from time to time.
  void RemoveExpired(Instant aNow);

  /// @return the number of hosts that something is known of.
  size_t Size() const { return mPeers.size(); }

  /// Time for which an agreement holds.
  static constexpr std::chrono::milliseconds kAgreedFor{ 1000 };
  /// Time for which a host is not asked again, by the reason.
  static constexpr std::chrono::milliseconds kNoPathFor{ 500 };
  static constexpr std::chrono::milliseconds kBusyFor{ 200 };
  /// Doubled up to the longest one while the host stays silent: it may be of an
  /// older build, which ignores the question.
  static constexpr std::chrono::milliseconds kSilentFor{ 200 };
  static constexpr std::chrono::milliseconds kMaxSilentFor{ 3200 };

private:
  struct Peer
  {
    std::map<std::string, Instant> agreedUntil;
    std::map<std::string, Instant> noPathUntil;
    Instant notBefore{};
    /// Time for which it is not asked after its next silence.
    Duration silentFor = kSilentFor;
    size_t requests = 0;
  };

  static bool IsConfirmed(const Peer& aPeer,
                          const std::string& aService,
                          Instant aNow);
  bool MayAsk(const std::string& aPeer,
              const std::string& aService,
              Instant aNow) const;

  const std::string mSelf;
  const DataCentre mDataCentre;
  Random mRandom;
  std::map<std::string, Peer> mPeers;
};

} // namespace rattandyke::gateway

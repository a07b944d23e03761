/// Demand of all entry hosts for upstreams, as measured by the leader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <rattandyke/types.h>

#include "scheduling/demand_view.h"

namespace rattandyke::scheduling {

/// Requests for a service in an interval.
struct ServiceLoad
{
  /// Requests that arrived.
  uint64_t requests = 0;
  /// Sum of the response times of attempts that ended.
  Duration busy{};
  /// Attempts that upstreams refused.
  uint64_t refused = 0;

  ServiceLoad& operator+=(const ServiceLoad& aOther);
};

/// Keeps moving averages of the demand for owners of keys and for services
/// without keys, and makes a digest of them at regular intervals. Used by the
/// leading control host. Does no I/O. Not thread-safe.
class DemandTable
{
public:
  /// Interval of digests.
  static constexpr Duration kDigestInterval = std::chrono::milliseconds{ 200 };
  /// Time after an election for which no digest is made. The demand is unknown
  /// until the reports of all hosts have arrived, which takes two intervals of
  /// 200 ms.
  static constexpr Duration kSettleTime = std::chrono::milliseconds{ 600 };
  /// Owners are listed from this share of their capacity upwards, up to this
  /// number. If more are busy, the digest says that it is truncated.
  static constexpr double kListedShare = 0.5;
  static constexpr size_t kMaxListedOwners = 256;

  /// Requests that an owner of keys can run per second.
  struct OwnerCapacity
  {
    std::string_view instance;
    double perSecond = 0;
  };

  /// Slots of all upstreams of a service without keys.
  struct ServiceSlots
  {
    std::string_view service;
    uint64_t slots = 0;
  };

  /// An owner whose demand has exceeded its capacity, or no longer does.
  struct OverloadChange
  {
    OwnerDemand owner;
    bool overloaded = false;
  };

  struct Round
  {
    DemandDigest digest;
    /// Changes to log. Their number is limited to a burst of 20 and 4 per
    /// second, each counted with the change back that follows.
    std::vector<OverloadChange> changes;
    /// Changes beyond the limit.
    size_t omittedChanges = 0;
    /// Owners whose demand exceeds their capacity.
    size_t overloadedOwners = 0;
  };

  /// Discards all data. Call it when this host is elected.
  void Start(uint64_t aTerm, Instant aNow);

  /// Adds requests that arrived for an owner's keys.
  void AddOwnerRequests(const std::string& aInstance, double aRequests);

  /// Adds the demand for keys that an owner is granted.
  /// @param aPerSecond request rate of the keys.
  void AddMovedDemand(const std::string& aInstance, double aPerSecond);

  /// Removes the demand for keys that an owner loses.
  /// @param aShare share of the owner's requests that are for these keys.
  void RemoveMovedDemand(const std::string& aInstance, double aShare);

  /// Adds an interval's load of a service without keys.
  void AddServiceLoad(const std::string& aService, const ServiceLoad& aLoad);

  /// Makes a digest. Call it every kDigestInterval while this host leads.
  /// @param aOwners   all owners that get requests. Others are not listed.
  /// @param aServices all services without keys.
  /// @return std::nullopt for kSettleTime after Start.
  std::optional<Round> MakeRound(const std::vector<OwnerCapacity>& aOwners,
                                 const std::vector<ServiceSlots>& aServices,
                                 Instant aNow);

private:
  /// Moving average of a count per second, scaled by mWeight.
  struct Rate
  {
    double average = 0;
    /// Counted since the last update.
    double pending = 0;
  };

  struct ServiceRates
  {
    Rate requests;
    Rate busySeconds;
    Rate refused;
  };

  /// Allows lookups by std::string_view.
  struct NameHash
  {
    using is_transparent = void;
    size_t operator()(std::string_view aName) const
    {
      return std::hash<std::string_view>()(aName);
    }
  };

  struct BusyOwner
  {
    std::string_view instance;
    double demand = 0;
    double capacity = 0;
    double Share() const { return demand / capacity; }
    OwnerDemand ToOwnerDemand() const
    {
      return { std::string(instance), demand, capacity };
    }
  };

  void UpdateRates(Instant aNow);
  double PerSecond(const Rate& aRate) const;
  ServiceDemand DemandOf(const ServiceSlots& aService) const;
  /// @return each owner with a share of at least kListedShare. The first
  /// kMaxListedOwners are those with the highest shares, in order.
  std::vector<BusyOwner> BusyOwners(
    const std::vector<OwnerCapacity>& aOwners) const;
  void UpdateOverloads(const std::vector<BusyOwner>& aBusyOwners,
                       Round& aRound,
                       Instant aNow);
  bool TakeChangeToken(Instant aNow);

  uint64_t mTerm = 0;
  uint64_t mSequence = 0;
  Instant mStartedAt{};
  std::optional<Instant> mUpdatedAt;
  /// Sum of the weights of the intervals so far; approaches 1. Averages are
  /// divided by it. Otherwise demand would look too low after an election.
  double mWeight = 0;
  std::unordered_map<std::string, Rate, NameHash, std::equal_to<>> mOwners;
  std::map<std::string, ServiceRates, std::less<>> mServices;
  /// Overloaded owners, and whether the change was within the limit.
  std::map<std::string, bool, std::less<>> mOverloaded;
  double mChangeTokens = 0;
  Instant mTokensAt{};
};

} // namespace rattandyke::scheduling

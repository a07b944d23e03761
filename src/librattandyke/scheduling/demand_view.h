/// Demand of all entry hosts for busy upstreams, as known to one host.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::scheduling {

/// Demand for an owner of keys, in requests per second.
struct OwnerDemand
{
  std::string instance;
  /// Requests of all entry hosts for the owner's keys.
  double demand = 0;
  /// Requests that the owner can run: slots divided by its response time.
  double capacity = 0;

  bool operator==(const OwnerDemand&) const = default;
};

/// Demand for a service without keys.
struct ServiceDemand
{
  std::string service;
  /// Share of its upstreams' slots in use; above 1 if demand exceeds them.
  double utilization = 0;
  /// Share of its requests that upstreams refused.
  double refusedShare = 0;

  bool operator==(const ServiceDemand&) const = default;
};

/// What the leading control host knew of the demand at one point in time.
struct DemandDigest
{
  /// Term of the leader.
  uint64_t term = 0;
  /// Rises with each digest of a term.
  uint64_t sequence = 0;
  /// Time since the leader made the digest.
  Duration age{};
  /// Owners from half of their capacity upwards.
  std::vector<OwnerDemand> owners;
  /// All services without keys.
  std::vector<ServiceDemand> services;
  /// More owners are at half of their capacity or above than are listed.
  bool truncated = false;

  bool operator==(const DemandDigest&) const = default;
};

/// Holds the newest digest. Does no I/O. Not thread-safe.
class DemandView
{
public:
  /// Time since its creation for which a digest is valid: five intervals of the
  /// leader, so that a few lost digests or an election do not matter, and short
  /// compared with the time in which demand changes.
  static constexpr Duration kValidity = std::chrono::milliseconds{ 1000 };

  /// @return whether there is a digest that is valid.
  bool IsFresh(Instant aNow) const;

  /// @return the demand for an owner of keys; std::nullopt if the newest digest
  /// does not list it. Unless IsTruncated, its demand is then below half of its
  /// capacity. Use it only while IsFresh.
  std::optional<OwnerDemand> OwnerOf(std::string_view aInstance) const;

  /// @return whether the newest digest leaves out busy owners. Use it only
  /// while IsFresh.
  bool IsTruncated() const { return mTruncated; }

  /// @return the demand for a service without keys; std::nullopt if the newest
  /// digest does not list it. Use it only while IsFresh.
  std::optional<ServiceDemand> ServiceOf(std::string_view aService) const;

  /// Replaces the current digest, unless the given one is not newer.
  /// @param aNow time at which the digest arrived.
  void Apply(const DemandDigest& aDigest, Instant aNow);

  /// @return whether Apply would accept a digest: it has a later term than the
  /// current one, or the same term and a higher sequence.
  bool IsNewer(const DemandDigest& aDigest) const;

  /// @return the time since the leader made the current digest; std::nullopt if
  /// there is none.
  std::optional<Duration> Age(Instant aNow) const;

private:
  bool mHasDigest = false;
  uint64_t mTerm = 0;
  uint64_t mSequence = 0;
  Instant mCreatedAt{};
  bool mTruncated = false;
  std::map<std::string, OwnerDemand, std::less<>> mOwners;
  std::map<std::string, ServiceDemand, std::less<>> mServices;
};

} // namespace rattandyke::scheduling

/// Selection of the hosts that allocate the slots of upstreams.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattandyke::scheduling {

/// Which hosts allocate slots.
enum class AllocatorRule : uint8_t
{
  /// All entry hosts, with equal shares.
  EntriesAlike,
  /// All entry hosts, in proportion to the bandwidth of their links.
  EntriesByLink,
  /// The control hosts that allocate, with equal shares.
  ControlHosts,
};

/// @return the value in log lines.
std::string_view NameOf(AllocatorRule aRule);

/// Role of a host in the allocation of the slots of a group of upstreams.
enum class AllocatorRole : uint8_t
{
  First,
  /// Allocates a part of the slots while the first allocator does not answer.
  Second,
  /// Another host.
  None,
};

/// Selects the allocators of groups of upstreams by weighted rendezvous
/// hashing. All inputs come from the replicated state, so all hosts with the
/// same state select the same allocators. The settings of a host have no
/// influence except through what it states there. Does no I/O. Not thread-safe.
class AllocatorDirectory
{
public:
  /// With more entry hosts than this, control hosts do not allocate: their
  /// share of the slot messages would exceed a tenth of a core each.
  static constexpr size_t kMaxEntriesForControlHosts = 400;
  /// Control hosts allocate only if each of their links is this many times as
  /// fast as the mean link of the entry hosts. With links alike, the messages
  /// would only take other ways.
  static constexpr double kMinControlLinkRatio = 10;
  /// A control host offers to allocate if the fastest link of an entry host is
  /// this many times as fast as the slowest. Entry hosts that are alike share
  /// the work evenly, near to the requests.
  static constexpr double kMinLinkSpread = 1.5;

  /// @param aLinkMbits bandwidths of the entry hosts; 0: not stated.
  /// @return whether the entry hosts are so uneven that control hosts should
  /// offer to allocate; false if one does not state its bandwidth.
  static bool HasUnevenLinks(const std::vector<double>& aLinkMbits);

  /// Allocators of one group. The views are valid until the directory changes.
  struct Allocators
  {
    /// Empty if there is no allocator.
    std::string_view first;
    /// Empty if there is none, which is always so with EntriesAlike.
    std::string_view second;

    AllocatorRole RoleOf(std::string_view aAddress) const;
  };

  /// What a host states about itself.
  struct Statement
  {
    std::string_view address;
    /// Bandwidth of its link; 0: not stated.
    double linkMbits = 0;
    /// Of a control host only.
    bool allocates = false;
  };

  /// Replaces all hosts. The cost per host grows only with the logarithm of
  /// their number if they are sorted by address.
  void Replace(const std::vector<Statement>& aEntries,
               const std::vector<Statement>& aControlHosts);

  /// Adds an entry host or changes its bandwidth.
  /// @param aLinkMbits bandwidth of its link; 0: not stated.
  void PutEntry(std::string_view aAddress, double aLinkMbits);
  void RemoveEntry(std::string_view aAddress);

  /// Adds a control host or changes whether it allocates slots.
  /// @param aLinkMbits bandwidth of its link; 0: not stated. While a control
  /// host that allocates does not state it, none of them allocates.
  void PutControlHost(std::string_view aAddress,
                      bool aAllocates,
                      double aLinkMbits);
  void RemoveControlHost(std::string_view aAddress);

  AllocatorRule Rule() const { return mRule; }
  /// @return whether any host follows another rule than EntriesAlike if all do.
  /// If so, the rule may have been another one shortly before.
  bool IsAnyByCapacity() const;
  size_t EntryCount() const { return mEntries.size(); }
  /// @return the number of hosts that allocate.
  size_t AllocatorCount() const { return Active().size(); }

  /// @return a value that differs between different sets of allocators. With
  /// EntriesAlike it does not depend on the set.
  uint64_t Fingerprint() const;

  /// @return the allocators of a group of a service's upstreams.
  Allocators Select(std::string_view aService, uint32_t aGroup) const;

private:
  struct Host
  {
    std::string address;
    uint64_t hash = 0;
    double weight = 1;
    /// Bandwidth of a control host's link; 0: not stated.
    double linkMbits = 0;
  };
  /// Sorted by address.
  using Hosts = std::vector<Host>;

  static Hosts::iterator Find(Hosts& aHosts, std::string_view aAddress);
  static Host& Put(Hosts& aHosts, std::string_view aAddress, double aWeight);
  static void Remove(Hosts& aHosts, std::string_view aAddress);
  void PutEntryHost(std::string_view aAddress, double aLinkMbits);
  void PutOrRemoveControlHost(std::string_view aAddress,
                              bool aAllocates,
                              double aLinkMbits);
  /// Must be called after each change of the hosts. Examines all of them.
  void UpdateRule();
  /// @return whether control hosts may allocate for the entry hosts.
  bool ControlHostsFit() const;
  const Hosts& Active() const;
  Allocators SelectAlike(uint64_t aGroup) const;
  Allocators SelectWeighted(uint64_t aGroup) const;

  Hosts mEntries;
  /// Only those that allocate.
  Hosts mControlHosts;
  AllocatorRule mRule = AllocatorRule::EntriesAlike;
  /// All active hosts have the same weight.
  bool mAlike = true;
};

} // namespace rattandyke::scheduling

/// What the stand-in upstream may run: its lease, its grants and what still
/// runs under grants that were revoked.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::upstream {

/// All slots from the first to the last, under one fence.
struct SlotGrant
{
  Slot first;
  Slot last;
  Fence fence;
  bool operator==(const SlotGrant&) const = default;
};

/// One hot key, beside its slot.
struct KeyGrant
{
  std::string key;
  Fence fence;
  bool operator==(const KeyGrant&) const = default;
};

using Grant = std::variant<SlotGrant, KeyGrant>;

/// A host's answer to an announcement.
struct AnnounceAnswer
{
  std::chrono::milliseconds lease{ 0 };
  /// When to announce again.
  std::chrono::milliseconds next{ 0 };
  uint64_t grantsVersion = 0;
  /// All grants at that version; absent if they did not change.
  std::optional<std::vector<Grant>> grants;
};

/// What a request claims to be allowed to: its key, slot and fence.
struct Claim
{
  std::string key;
  Slot slot;
  Fence fence;
};

enum class Verdict
{
  Allowed,
  /// The fence is not one that is granted now.
  WrongFence,
  /// The lease is over: the key may have another owner already.
  LeaseOver
};

/// Grants of one upstream. No I/O; not thread-safe.
class GrantBook
{
public:
  /// Takes a host's answer.
  /// @param aSent when the announcement was sent: the lease counts from then,
  /// since the host may have begun to count as soon as it arrived.
  /// @return whether the grants changed.
  bool Apply(const AnnounceAnswer& aAnswer, Instant aSent);

  /// @return whether a run may begin now.
  Verdict Check(const Claim& aClaim, Instant aNow) const;

  /// A run begins. @return its number, for End.
  uint64_t Begin(const Claim& aClaim);
  void End(uint64_t aRun);

  /// @return the newest version under whose revocations nothing runs: what the
  /// next announcement acknowledges. Naming a newer one would let the next
  /// owner begin beside a run that is not over.
  uint64_t AcknowledgedVersion();

  Instant LeaseUntil() const { return mLeaseUntil; }
  bool HoldsGrants() const { return !mGrants.empty(); }
  size_t Running() const { return mRunning.size(); }

  /// Misbehaviour: grants that were given once are kept for ever.
  void IgnoreRevocations(bool aIgnore) { mIgnoreRevocations = aIgnore; }

private:
  std::optional<Fence> GrantedFence(const Claim& aClaim) const;

  std::vector<Grant> mGrants;
  uint64_t mVersion = 0;
  uint64_t mAcknowledged = 0;
  Instant mLeaseUntil{};
  uint64_t mNextRun = 1;
  std::map<uint64_t, Claim> mRunning;
  bool mIgnoreRevocations = false;
};

} // namespace rattandyke::upstream

/// Which items of the table changed at which version.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

namespace rattandyke::control {

/// Names one item of the routing table.
struct ChangedItem
{
  enum class Kind : uint8_t
  {
    Record,
    Upstream,
    Slot,
    HotKey,
    Ban
  };
  Kind kind = Kind::Record;
  /// Service; for a record its kind.
  std::string scope;
  /// Name, key or fingerprint.
  std::string name;
  uint32_t slot = 0;
};

/// Keeps the changes in order of version, so that the cost of an update is in
/// what changed and not in the size of the table. An item that changed again
/// leaves its older entry behind; readers skip those by the item's own version,
/// and they are swept out once they are most of the index. Not thread-safe.
class ChangeIndex
{
public:
  /// @return the version at which the item changed last.
  using LastChange = std::function<uint64_t(const ChangedItem&)>;

  void Add(uint64_t aVersion, ChangedItem aItem)
  {
    mChanges[aVersion].push_back(std::move(aItem));
    ++mSize;
  }

  /// Calls aVisit with each item whose last change is after aVersion.
  void VisitAfter(uint64_t aVersion,
                  const LastChange& aLastChange,
                  const std::function<void(const ChangedItem&)>& aVisit) const
  {
    for (auto at = mChanges.upper_bound(aVersion); at != mChanges.end(); ++at) {
      for (const ChangedItem& item : at->second) {
        if (aLastChange(item) == at->first) {
          aVisit(item);
        }
      }
    }
  }

  /// Sweeps out stale entries if they are most of the index.
  void SweepIfNeeded(const LastChange& aLastChange)
  {
    constexpr size_t kSmall = 4096;
    if (mSize < kSmall || mSize < 2 * mSizeAfterSweep) {
      return;
    }
    mSize = 0;
    for (auto at = mChanges.begin(); at != mChanges.end();) {
      std::erase_if(at->second, [&](const ChangedItem& aItem) {
        return aLastChange(aItem) != at->first;
      });
      mSize += at->second.size();
      at = at->second.empty() ? mChanges.erase(at) : std::next(at);
    }
    mSizeAfterSweep = mSize;
  }

  void Clear()
  {
    mChanges.clear();
    mSize = 0;
    mSizeAfterSweep = 0;
  }

private:
  std::map<uint64_t, std::vector<ChangedItem>> mChanges;
  size_t mSize = 0;
  size_t mSizeAfterSweep = 0;
};

} // namespace rattandyke::control

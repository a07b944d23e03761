#include "routing/hot_keys.h"

#include <algorithm>

#include "routing/service_table.h"

namespace rattandyke::routing {

namespace {

constexpr size_t kLongestKey = 256;

uint64_t
HashOfBoth(std::string_view aService, std::string_view aKey)
{
  constexpr uint64_t kMix = 0x9e3779b97f4a7c15;
  return HashKey(aService) * kMix ^ HashKey(aKey);
}

} // namespace

HotKeys::HotKeys(size_t aCapacity)
  : mCapacity(aCapacity)
{
  mHeap.reserve(aCapacity);
  mPlaces.reserve(aCapacity);
}

void
HotKeys::Count(std::string_view aService, std::string_view aKey)
{
  if (aKey.size() > kLongestKey || mCapacity == 0) {
    return;
  }
  const uint64_t hash = HashOfBoth(aService, aKey);
  if (const auto found = mPlaces.find(hash); found != mPlaces.end()) {
    ++mHeap[found->second].value.count;
    SiftDown(found->second);
    return;
  }
  if (mHeap.size() < mCapacity) {
    mHeap.push_back(
      { { std::string(aService), std::string(aKey), 1, 0 }, hash });
    mPlaces.emplace(hash, mHeap.size() - 1);
    SiftUp(mHeap.size() - 1);
    return;
  }
  Counter& smallest = mHeap.front();
  mPlaces.erase(smallest.hash);
  mPlaces.emplace(hash, 0);
  smallest.hash = hash;
  smallest.value.service = aService;
  smallest.value.key = aKey;
  smallest.value.error = smallest.value.count;
  ++smallest.value.count;
  SiftDown(0);
}

std::vector<KeyCount>
HotKeys::Top(size_t aLimit, uint64_t aLeast) const
{
  std::vector<KeyCount> top;
  for (const Counter& counter : mHeap) {
    if (counter.value.count - counter.value.error >= aLeast) {
      top.push_back(counter.value);
    }
  }
  std::sort(
    top.begin(), top.end(), [](const KeyCount& aOne, const KeyCount& aOther) {
      return aOne.count != aOther.count ? aOne.count > aOther.count
                                        : aOne.key < aOther.key;
    });
  top.resize(std::min(top.size(), aLimit));
  return top;
}

void
HotKeys::Reset()
{
  mHeap.clear();
  mPlaces.clear();
}

void
HotKeys::SiftUp(size_t aPlace)
{
  while (aPlace > 0) {
    const size_t parent = (aPlace - 1) / 2;
    if (mHeap[parent].value.count <= mHeap[aPlace].value.count) {
      return;
    }
    Swap(parent, aPlace);
    aPlace = parent;
  }
}

void
HotKeys::SiftDown(size_t aPlace)
{
  for (;;) {
    size_t smallest = aPlace;
    const size_t left = 2 * aPlace + 1;
    for (const size_t child : { left, left + 1 }) {
      if (child < mHeap.size() &&
          mHeap[child].value.count < mHeap[smallest].value.count) {
        smallest = child;
      }
    }
    if (smallest == aPlace) {
      return;
    }
    Swap(smallest, aPlace);
    aPlace = smallest;
  }
}

void
HotKeys::Swap(size_t aOne, size_t aOther)
{
  std::swap(mHeap[aOne], mHeap[aOther]);
  mPlaces[mHeap[aOne].hash] = aOne;
  mPlaces[mHeap[aOther].hash] = aOther;
}

} // namespace rattandyke::routing

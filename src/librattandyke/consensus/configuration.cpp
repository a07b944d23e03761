#include "consensus/configuration.h"

#include <algorithm>

namespace rattandyke::consensus {

const wire::GroupMember*
FindMember(const wire::Configuration& aConfiguration, uint64_t aIdentity)
{
  for (const wire::GroupMember& member : aConfiguration.members()) {
    if (member.identity() == aIdentity) {
      return &member;
    }
  }
  return nullptr;
}

bool
IsVoter(const wire::Configuration& aConfiguration, uint64_t aIdentity)
{
  const wire::GroupMember* member = FindMember(aConfiguration, aIdentity);
  return member != nullptr && member->voter();
}

size_t
VoterCount(const wire::Configuration& aConfiguration)
{
  const auto& members = aConfiguration.members();
  return std::count_if(members.begin(), members.end(), [](const auto& aMember) {
    return aMember.voter();
  });
}

size_t
Majority(const wire::Configuration& aConfiguration)
{
  return VoterCount(aConfiguration) / 2 + 1;
}

const wire::Configuration&
ConfigurationHistory::At(uint64_t aIndex) const
{
  const auto found =
    std::find_if(mItems.rbegin(), mItems.rend(), [&](const Item& aItem) {
      return aItem.index <= aIndex;
    });
  return found == mItems.rend() ? mItems.front().value : found->value;
}

void
ConfigurationHistory::Add(uint64_t aIndex, wire::Configuration aConfiguration)
{
  mItems.push_back({ aIndex, std::move(aConfiguration) });
}

void
ConfigurationHistory::TruncateFrom(uint64_t aIndex)
{
  while (mItems.size() > 1 && mItems.back().index >= aIndex) {
    mItems.pop_back();
  }
}

void
ConfigurationHistory::CompactTo(uint64_t aIndex)
{
  while (mItems.size() > 1 && mItems[1].index <= aIndex) {
    mItems.erase(mItems.begin());
  }
}

void
ConfigurationHistory::Reset(uint64_t aIndex, wire::Configuration aConfiguration)
{
  mItems.clear();
  mItems.push_back({ aIndex, std::move(aConfiguration) });
}

} // namespace rattandyke::consensus

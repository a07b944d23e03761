/// Who belongs to the group: the configurations in a replica's log.
#pragma once

#include <optional>
#include <vector>

#include "consensus/types.h"
#include "wire/consensus.pb.h"

namespace rattandyke::consensus {

/// @return the member of that identity, or nullptr.
const wire::GroupMember* FindMember(const wire::Configuration& aConfiguration,
                                    uint64_t aIdentity);

bool IsVoter(const wire::Configuration& aConfiguration, uint64_t aIdentity);

size_t VoterCount(const wire::Configuration& aConfiguration);

/// Smallest number of voters of which any two sets share one.
size_t Majority(const wire::Configuration& aConfiguration);

/// @param aValueOf gives a voter's value.
/// @return the largest value that a majority of the voters reaches; the default
/// value if there are no voters.
template<typename ValueOf>
auto
MajorityValue(const wire::Configuration& aConfiguration, ValueOf aValueOf)
{
  std::vector<decltype(aValueOf(wire::GroupMember{}))> values;
  for (const wire::GroupMember& member : aConfiguration.members()) {
    if (member.voter()) {
      values.push_back(aValueOf(member));
    }
  }
  if (values.empty()) {
    return decltype(aValueOf(wire::GroupMember{})){};
  }
  std::sort(values.begin(), values.end(), std::greater<>{});
  return values[values.size() / 2];
}

/// The configurations of one log, by the index of their entry. The newest is
/// in force, committed or not; a truncation brings the one before back.
class ConfigurationHistory
{
public:
  /// @return the newest; one without members if there is none.
  const wire::Configuration& Current() const { return mItems.back().value; }

  /// @return the index of the entry of Current; 0 if there is none.
  uint64_t CurrentIndex() const { return mItems.back().index; }

  /// @return the one in force at aIndex.
  const wire::Configuration& At(uint64_t aIndex) const;

  void Add(uint64_t aIndex, wire::Configuration aConfiguration);
  void TruncateFrom(uint64_t aIndex);

  /// Forgets those that were replaced at or before aIndex.
  void CompactTo(uint64_t aIndex);

  void Reset(uint64_t aIndex, wire::Configuration aConfiguration);

private:
  struct Item
  {
    uint64_t index = 0;
    wire::Configuration value;
  };
  std::vector<Item> mItems = std::vector<Item>(1);
};

} // namespace rattandyke::consensus

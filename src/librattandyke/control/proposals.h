/// Commands that the leader decided on and that are not applied yet.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/control.pb.h"

namespace rattandyke::control {

/// Effect: append a command to the log.
struct Propose
{
  /// Given back in ProposalDone.
  uint64_t id = 0;
  wire::Command command;
};

/// Remembers which subjects a proposal is under way for, so that a decision is
/// not proposed again on every step until it is applied. Not thread-safe.
class Proposals
{
public:
  /// @param aSubjects names of what it decides about, as for IsBusy.
  void Add(wire::Command aCommand, std::vector<std::string> aSubjects)
  {
    const uint64_t id = ++mLast;
    for (const std::string& subject : aSubjects) {
      mBusy.insert(subject);
    }
    mSubjects.emplace(id, std::move(aSubjects));
    mNew.push_back({ id, std::move(aCommand) });
  }

  bool IsBusy(const std::string& aSubject) const
  {
    return mBusy.contains(aSubject);
  }

  /// The proposal was applied, or will never be known to be.
  void Done(uint64_t aId)
  {
    const auto found = mSubjects.find(aId);
    if (found == mSubjects.end()) {
      return;
    }
    for (const std::string& subject : found->second) {
      mBusy.erase(subject);
    }
    mSubjects.erase(found);
  }

  /// @return the proposals added since the last call.
  std::vector<Propose> TakeNew() { return std::exchange(mNew, {}); }

  /// Forgets all but the numbering: answers to older ones come late.
  void Clear()
  {
    mBusy.clear();
    mSubjects.clear();
    mNew.clear();
  }

private:
  uint64_t mLast = 0;
  std::map<uint64_t, std::vector<std::string>> mSubjects;
  std::set<std::string> mBusy;
  std::vector<Propose> mNew;
};

} // namespace rattandyke::control

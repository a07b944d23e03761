#include "control/group_status.h"

#include <boost/json.hpp>

namespace rattandyke::control {

namespace {

boost::json::object
MemberLine(const consensus::MemberStatus& aMember)
{
  return { { "name", aMember.member.name.value },
           { "identity", std::to_string(aMember.identity.value) },
           { "voter", aMember.voter },
           { "active", aMember.active },
           { "match_index", aMember.match.value } };
}

} // namespace

std::string
StatusOf(const consensus::GroupStatus& aGroup,
         const State& aState,
         const Coordinator& aCoordinator)
{
  boost::json::object status;
  status["role"] = NameOf(aGroup.role);
  status["leads"] = aCoordinator.IsLeader();
  status["leader"] = aGroup.leader ? aGroup.leader->value : "";
  status["term"] = aGroup.term.value;
  status["identity"] = std::to_string(aGroup.identity.value);
  status["last_index"] = aGroup.lastIndex.value;
  status["commit_index"] = aGroup.commitIndex.value;
  status["applied_index"] = aGroup.appliedIndex.value;
  status["snapshot_index"] = aGroup.snapshotIndex.value;
  status["table_version"] = aState.Version().value;
  status["storage_error"] = aGroup.storageError;
  status["syncs"] = aGroup.syncs;
  boost::json::array members;
  for (const consensus::MemberStatus& member : aGroup.members) {
    members.push_back(MemberLine(member));
  }
  status["members"] = std::move(members);
  return boost::json::serialize(status);
}

} // namespace rattandyke::control

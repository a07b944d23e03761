/// The replicated state: what the log's commands built.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "control/assignments.h"
#include "control/ban_table.h"
#include "control/change_index.h"
#include "control/claim_table.h"
#include "control/record_table.h"
#include "wire/control.pb.h"

namespace rattandyke::control {

/// What applying one command gave.
struct ApplyResult
{
  /// Answer for whoever proposed it; without an id.
  wire::CallReply reply;
  /// Whether the routing table has a new version.
  bool tableChanged = false;
};

/// Deterministic state machine: replicas that applied the same commands are the
/// same. Its only time is what commands carry. Not thread-safe.
class State
{
public:
  State();
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  ApplyResult Apply(LogIndex aIndex, const wire::Command& aCommand);

  /// @return what Apply would answer to a submission, without a change.
  wire::CallReply Preview(const wire::SubmitRecordCall& aCall) const;

  /// @return version of the newest change of the routing table.
  TableVersion Version() const { return mVersion; }

  /// @param aVersion what the receiver has; 0 for nothing.
  /// @return the changes since, at a cost of the changes only; the whole table
  /// if aVersion is 0, too old, or from another history.
  wire::TableUpdate UpdateSince(TableVersion aVersion) const;

  std::string Snapshot() const;

  /// @return Code::StorageCorrupt if it is not a snapshot.
  Result<void> Restore(std::string_view aSnapshot);

  /// @return the service's record in force, or nothing.
  std::optional<records::ServiceRecord> ServiceInForce(
    const std::string& aName) const;

  /// Calls aVisit with each upstream that changed after aVersion.
  void VisitChangedUpstreams(
    TableVersion aVersion,
    const std::function<void(const UpstreamEntry&)>& aVisit) const;

  const RecordTable& Records() const { return mRecords; }
  const Assignments& Owners() const { return mAssignments; }
  const ClaimTable& Claims() const { return mClaims; }
  const BanTable& Bans() const { return mBans; }
  WallTime Now() const { return mNow; }

  /// @return log index of the newest change of records; placement depends on
  /// them.
  uint64_t RecordsChanged() const { return mRecordsChanged; }

private:
  struct Applier;

  Result<void> CheckRule(const wire::Record& aRecord) const;
  void SubmitRecord(LogIndex aIndex,
                    const wire::SubmitRecordCall& aCall,
                    wire::CallReply& aReply);
  void MarkChanged(ChangedItem aItem);
  uint64_t LastChange(const ChangedItem& aItem) const;
  void AddItem(const ChangedItem& aItem, wire::TableUpdate& aUpdate) const;
  void AddRecord(const StoredRecord& aRecord, wire::TableUpdate& aUpdate) const;
  wire::TableUpdate WholeTable() const;
  void ForgetOld();
  void RebuildIndex();

  RecordTable mRecords;
  Assignments mAssignments;
  ClaimTable mClaims;
  BanTable mBans;
  ChangeIndex mChanges;
  TableVersion mVersion;
  /// Tables older than this are sent anew, whole.
  TableVersion mOldestVersion;
  LogIndex mApplying;
  WallTime mNow{};
  WallTime mForgotAt{};
  WallTime mBansExpiredAt{};
  uint64_t mRecordsChanged = 0;
};

} // namespace rattandyke::control

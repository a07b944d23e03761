/// Operators' records, their revisions, and the answers to submissions.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "records/records.h"
#include "wire/control.pb.h"

namespace rattandyke::control {

/// One record as it is stored.
struct StoredRecord
{
  /// Newest form, understood or not; may be a tombstone.
  wire::Record newest;
  /// Last form that this version of the product understands, if the newest is
  /// not understood: it stays in force, so that nothing is half applied.
  std::optional<wire::Record> olderInForce;

  /// @return the form in force, or null.
  const wire::Record* InForce() const;
};

/// Part of State: deterministic. Not thread-safe.
class RecordTable
{
public:
  /// Answers to the newest submissions are kept for resends.
  static constexpr size_t kMostSubmissions = 10'000;

  /// Kind and name.
  using Key = std::pair<std::string, std::string>;

  /// Rules that reach beyond one record, such as "slots are fixed".
  using Rule = std::function<Result<void>(const wire::Record&)>;

  /// @return the answer; Code::RevisionConflict says who holds the record, and
  /// carries the record in force. A resend gets the first answer.
  wire::CallReply Submit(LogIndex aIndex,
                         const wire::SubmitRecordCall& aCall,
                         WallTime aNow,
                         const Rule& aRule);

  /// @return what Submit would answer, without a change.
  wire::CallReply Preview(const wire::SubmitRecordCall& aCall,
                          const Rule& aRule) const;

  /// @return the record, or null.
  const StoredRecord* Find(const std::string& aKind,
                           const std::string& aName) const;

  const std::map<Key, StoredRecord>& All() const { return mRecords; }

  void Save(wire::StateSnapshot& aSnapshot) const;
  void Load(const wire::StateSnapshot& aSnapshot);

private:
  struct Submission
  {
    std::string id;
    uint64_t index = 0;
    wire::CallReply reply;
  };

  void Store(LogIndex aIndex,
             const wire::SubmitRecordCall& aCall,
             WallTime aNow);
  void Remember(Submission aSubmission);
  const wire::CallReply* FindSubmission(const std::string& aId) const;

  std::map<Key, StoredRecord> mRecords;
  std::deque<Submission> mSubmissions;
  std::unordered_map<std::string, wire::CallReply> mAnswers;
};

} // namespace rattandyke::control

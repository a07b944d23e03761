#include "control/record_table.h"

namespace rattandyke::control {

namespace {

wire::CallReply
Refusal(Code aCode, std::string aMessage, const StoredRecord* aHeld)
{
  wire::CallReply reply;
  reply.set_code(static_cast<uint32_t>(aCode));
  reply.set_message(std::move(aMessage));
  if (aHeld != nullptr) {
    *reply.mutable_record() = aHeld->newest;
  }
  return reply;
}

bool
Exists(const StoredRecord* aHeld)
{
  return aHeld != nullptr && !aHeld->newest.deleted();
}

std::string
ConflictMessage(const wire::SubmitRecordCall& aCall, const StoredRecord* aHeld)
{
  const wire::Record& asked = aCall.record();
  std::string message = "The " + asked.kind() + " '" + asked.name() + "' ";
  if (!Exists(aHeld)) {
    message += "does not exist";
  } else {
    const wire::Record& held = aHeld->newest;
    message += "is at revision " + std::to_string(held.revision()) +
               " since a change by '" + held.submitted_by() + "'";
  }
  return message + "; this change was made on revision " +
         std::to_string(aCall.expected_revision()) + ".";
}

bool
FitsRevision(const wire::SubmitRecordCall& aCall, const StoredRecord* aHeld)
{
  if (aCall.any_revision()) {
    return true;
  }
  const uint64_t held = Exists(aHeld) ? aHeld->newest.revision() : 0;
  return aCall.expected_revision() == held;
}

} // namespace

const wire::Record*
StoredRecord::InForce() const
{
  if (newest.deleted()) {
    return nullptr;
  }
  if (records::IsUnderstood(newest)) {
    return &newest;
  }
  return olderInForce ? &*olderInForce : nullptr;
}

const StoredRecord*
RecordTable::Find(const std::string& aKind, const std::string& aName) const
{
  const auto found = mRecords.find({ aKind, aName });
  return found == mRecords.end() ? nullptr : &found->second;
}

const wire::CallReply*
RecordTable::FindSubmission(const std::string& aId) const
{
  const auto found = mAnswers.find(aId);
  return found == mAnswers.end() ? nullptr : &found->second;
}

wire::CallReply
RecordTable::Preview(const wire::SubmitRecordCall& aCall,
                     const Rule& aRule) const
{
  const wire::Record& asked = aCall.record();
  if (const wire::CallReply* first = FindSubmission(asked.submission_id())) {
    return *first;
  }
  const StoredRecord* held = Find(asked.kind(), asked.name());
  if (!FitsRevision(aCall, held)) {
    return Refusal(Code::RevisionConflict, ConflictMessage(aCall, held), held);
  }
  if (asked.deleted() && !Exists(held)) {
    return Refusal(Code::UnknownRecord, "There is no such record.", nullptr);
  }
  if (Result<void> fits = aRule(asked); !fits) {
    return Refusal(fits.error().code, fits.error().message, held);
  }
  wire::CallReply reply;
  *reply.mutable_record() = asked;
  return reply;
}

wire::CallReply
RecordTable::Submit(LogIndex aIndex,
                    const wire::SubmitRecordCall& aCall,
                    WallTime aNow,
                    const Rule& aRule)
{
  const std::string& id = aCall.record().submission_id();
  if (const wire::CallReply* first = FindSubmission(id)) {
    return *first;
  }
  wire::CallReply reply = Preview(aCall, aRule);
  if (reply.code() == static_cast<uint32_t>(Code::Ok)) {
    Store(aIndex, aCall, aNow);
    *reply.mutable_record() =
      mRecords.at({ aCall.record().kind(), aCall.record().name() }).newest;
  }
  Remember({ id, aIndex.value, reply });
  return reply;
}

void
RecordTable::Store(LogIndex aIndex,
                   const wire::SubmitRecordCall& aCall,
                   WallTime aNow)
{
  const wire::Record& asked = aCall.record();
  StoredRecord& stored = mRecords[{ asked.kind(), asked.name() }];
  if (const wire::Record* inForce = stored.InForce()) {
    stored.olderInForce = *inForce;
  }
  stored.newest = asked;
  stored.newest.set_revision(aIndex.value);
  stored.newest.set_submitted_unix_ms(aNow.time_since_epoch().count());
  if (asked.deleted() || records::IsUnderstood(asked)) {
    stored.olderInForce.reset();
  }
}

void
RecordTable::Remember(Submission aSubmission)
{
  if (aSubmission.id.empty()) {
    return;
  }
  mAnswers.emplace(aSubmission.id, aSubmission.reply);
  mSubmissions.push_back(std::move(aSubmission));
  if (mSubmissions.size() > kMostSubmissions) {
    mAnswers.erase(mSubmissions.front().id);
    mSubmissions.pop_front();
  }
}

void
RecordTable::Save(wire::StateSnapshot& aSnapshot) const
{
  for (const auto& [key, stored] : mRecords) {
    wire::RecordSnapshot& saved = *aSnapshot.add_records();
    *saved.mutable_newest() = stored.newest;
    if (stored.olderInForce) {
      *saved.mutable_in_force() = *stored.olderInForce;
    }
  }
  for (const Submission& submission : mSubmissions) {
    wire::SubmissionSnapshot& saved = *aSnapshot.add_submissions();
    saved.set_submission_id(submission.id);
    saved.set_index(submission.index);
    *saved.mutable_reply() = submission.reply;
  }
}

void
RecordTable::Load(const wire::StateSnapshot& aSnapshot)
{
  mRecords.clear();
  mSubmissions.clear();
  mAnswers.clear();
  for (const wire::RecordSnapshot& saved : aSnapshot.records()) {
    const wire::Record& newest = saved.newest();
    StoredRecord& stored = mRecords[{ newest.kind(), newest.name() }];
    stored.newest = newest;
    if (saved.has_in_force()) {
      stored.olderInForce = saved.in_force();
    }
  }
  for (const wire::SubmissionSnapshot& saved : aSnapshot.submissions()) {
    Remember({ saved.submission_id(), saved.index(), saved.reply() });
  }
}

} // namespace rattandyke::control

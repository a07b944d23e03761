#include "records/record_json.h"

#include "records/json_fields.h"

namespace rattandyke::records {

namespace {

constexpr uint64_t kMost = UINT64_MAX;

/// @return the body, or its text if what is stored is not JSON.
boost::json::value
BodyOf(const wire::Record& aRecord)
{
  boost::system::error_code error;
  boost::json::value body = boost::json::parse(aRecord.body_json(), error);
  return error ? boost::json::value(aRecord.body_json()) : body;
}

} // namespace

boost::json::object
ToJson(const wire::Record& aRecord)
{
  boost::json::object json{
    { "kind", aRecord.kind() },
    { "name", aRecord.name() },
    { "schema_version", aRecord.schema_version() },
    { "revision", aRecord.revision() },
    { "submission_id", aRecord.submission_id() },
    { "submitted_by", aRecord.submitted_by() },
    { "submitted_unix_ms", aRecord.submitted_unix_ms() },
  };
  if (aRecord.deleted()) {
    json["deleted"] = true;
  } else {
    json["body"] = BodyOf(aRecord);
  }
  return json;
}

Result<Submission>
SubmissionFromJson(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    return Fail(Code::InvalidRecord, "A record must be a JSON object.");
  }
  std::string kind;
  std::string name;
  std::string ignoredText;
  uint64_t schemaVersion = 0;
  uint64_t revision = 0;
  uint64_t ignoredNumber = 0;
  JsonFields fields(aValue.as_object(), "");
  fields.Read("kind", kind);
  fields.Read("name", name);
  fields.Read("schema_version", schemaVersion, 1, UINT32_MAX);
  fields.Read("revision", revision, 0, kMost);
  fields.Read("expected_revision", revision, 0, kMost);
  fields.Read("submission_id", ignoredText);
  fields.Read("submitted_by", ignoredText);
  fields.Read("submitted_unix_ms", ignoredNumber, 0, kMost);
  const boost::json::object* body = fields.Object("body");
  if (body == nullptr) {
    fields.Refuse("body", "an object", "nothing");
  }
  if (schemaVersion == 0) {
    fields.Refuse("schema_version", "1 or more", "nothing");
  }
  if (const Result<void> whole = fields.Finish(); !whole) {
    return tl::unexpected(whole.error());
  }
  Submission submission;
  submission.record.set_kind(kind);
  submission.record.set_name(name);
  submission.record.set_schema_version(static_cast<uint32_t>(schemaVersion));
  submission.record.set_body_json(boost::json::serialize(*body));
  const auto& object = aValue.as_object();
  if (object.contains("expected_revision") || object.contains("revision")) {
    submission.expectedRevision = revision;
  }
  return submission;
}

} // namespace rattandyke::records

/// A record as operators write and read it.
#pragma once

#include <cstdint>
#include <optional>

#include <boost/json.hpp>

#include <rattandyke/result.h>

#include "wire/table.pb.h"

namespace rattandyke::records {

/// A record to be put in force, and on which revision it builds.
struct Submission
{
  wire::Record record;
  /// 0: it must not exist yet. Nothing: not named.
  std::optional<uint64_t> expectedRevision;
};

/// @return {"kind", "name", "schema_version", "revision", "body",
/// "submission_id", "submitted_by", "submitted_unix_ms"}; the body as it was
/// submitted, also when its form is unknown.
boost::json::object ToJson(const wire::Record& aRecord);

/// Reads {"kind", "name", "schema_version", "body", "expected_revision"?}. What
/// ToJson adds is allowed and ignored, so that a record can be read, changed
/// and submitted again; its "revision" serves as the expected one.
/// @return Code::InvalidRecord naming the field that is missing or unknown.
Result<Submission> SubmissionFromJson(const boost::json::value& aValue);

} // namespace rattandyke::records

#include "records/records.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>

#include "records/json_fields.h"

namespace rattandyke::records {

namespace {

constexpr std::string_view kServiceKind = "service";
constexpr std::string_view kLimitKind = "limit";
constexpr uint32_t kServiceSchema = 1;
constexpr uint32_t kLimitSchema = 1;

constexpr uint64_t kMostSegments = 32;
constexpr uint64_t kMostSlots = 1 << 20;
constexpr uint64_t kMostRetentionSeconds = uint64_t{ 7 } * 24 * 3600;
constexpr uint64_t kMostMilliseconds = uint64_t{ 24 } * 3600 * 1000;
constexpr double kMostWeight = 1000;
constexpr double kMostRate = 1e9;
constexpr size_t kMostBodyBytes = size_t{ 64 } * 1024;
constexpr size_t kMostNameBytes = 200;

bool
IsNameCharacter(char aCharacter)
{
  constexpr std::string_view kPunctuation = "-._~";
  return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
         kPunctuation.find(aCharacter) != std::string_view::npos;
}

bool
IsName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMostNameBytes &&
         std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

std::optional<ValueSource>
ParseSource(std::string_view aText)
{
  constexpr std::string_view kPath = "path:";
  constexpr std::string_view kHeader = "header:";
  if (aText.starts_with(kHeader) && IsName(aText.substr(kHeader.size()))) {
    return ValueSource{ ValueSource::Kind::Header,
                        0,
                        std::string(aText.substr(kHeader.size())) };
  }
  if (!aText.starts_with(kPath)) {
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(kPath.size());
  uint32_t segment = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), segment);
  const bool whole = end == digits.data() + digits.size();
  if (error != std::errc{} || !whole || segment < 1 ||
      segment > kMostSegments) {
    return std::nullopt;
  }
  return ValueSource{ ValueSource::Kind::PathSegment, segment, "" };
}

void
ReadSource(JsonFields& aFields, std::string_view aName, ValueSource& aTarget)
{
  std::string text;
  aFields.Read(aName, text);
  if (text.empty()) {
    return;
  }
  const std::optional<ValueSource> source = ParseSource(text);
  if (!source) {
    aFields.Refuse(aName, "\"path:1\" to \"path:32\" or \"header:NAME\"", text);
    return;
  }
  aTarget = *source;
}

void
ReadMilliseconds(JsonFields& aFields,
                 std::string_view aName,
                 uint64_t aLeast,
                 std::chrono::milliseconds& aTarget)
{
  uint64_t count = aTarget.count();
  aFields.Read(aName, count, aLeast, kMostMilliseconds);
  aTarget = std::chrono::milliseconds(count);
}

void
ReadPrefix(JsonFields& aFields, std::string& aPrefix)
{
  aFields.Read("prefix", aPrefix);
  if (!aPrefix.starts_with('/') || !IsName(aPrefix.substr(1))) {
    aFields.Refuse("prefix", "a slash and one path segment", aPrefix);
  }
}

void
ReadWeights(JsonFields& aFields, PlacementWeights& aWeights)
{
  const boost::json::object* object = aFields.Object("weights");
  if (object == nullptr) {
    return;
  }
  JsonFields inner(*object, "weights.");
  inner.Read("imbalance", aWeights.imbalance, 0, kMostWeight);
  inner.Read("churn", aWeights.churn, 0, kMostWeight);
  inner.Read("unavailable", aWeights.unavailable, 0, kMostWeight);
  aFields.Take(inner.Finish());
}

void
ReadObjective(JsonFields& aFields, Objective& aObjective)
{
  const boost::json::object* object = aFields.Object("objective");
  if (object == nullptr) {
    return;
  }
  JsonFields inner(*object, "objective.");
  inner.Read("availability", aObjective.availability, 0, 1);
  ReadMilliseconds(inner, "latency_ms", 1, aObjective.latency);
  inner.Read("latency_share", aObjective.latencyShare, 0, 1);
  aFields.Take(inner.Finish());
}

void
ReadSlots(JsonFields& aFields, uint32_t& aSlots)
{
  uint64_t slots = aSlots;
  aFields.Read("slots", slots, 1, kMostSlots);
  aSlots = static_cast<uint32_t>(slots);
}

void
ReadRetention(JsonFields& aFields, std::chrono::seconds& aRetention)
{
  uint64_t seconds = aRetention.count();
  aFields.Read("retention_s", seconds, 1, kMostRetentionSeconds);
  aRetention = std::chrono::seconds(seconds);
}

void
ReadPolicy(JsonFields& aFields, std::string_view aName, std::string& aPolicy)
{
  aFields.Read(aName, aPolicy);
  if (!IsName(aPolicy)) {
    aFields.Refuse(aName, "the name of a plug-in", "'" + aPolicy + "'");
  }
}

Result<boost::json::object>
ParseBody(const wire::Record& aRecord)
{
  boost::system::error_code error;
  boost::json::value value = boost::json::parse(aRecord.body_json(), error);
  if (error || !value.is_object()) {
    return Fail(Code::InvalidRecord,
                "The body is not a JSON object: " +
                  (error ? error.message() : "it is another value") + ".");
  }
  return std::move(value.get_object());
}

Result<void>
RequireForm(const wire::Record& aRecord,
            std::string_view aKind,
            uint32_t aSchema)
{
  if (aRecord.kind() != aKind || aRecord.schema_version() != aSchema) {
    return Fail(Code::InvalidRecord,
                "The record is of kind '" + aRecord.kind() + "' and version " +
                  std::to_string(aRecord.schema_version()) +
                  "; understood here is '" + std::string(aKind) +
                  "' at version " + std::to_string(aSchema) + ".");
  }
  return {};
}

Result<void>
RequireName(std::string_view aName)
{
  if (!IsName(aName)) {
    return Fail(Code::InvalidRecord,
                "The name '" + std::string(aName) +
                  "' is not allowed: 1 to 200 letters, digits and -._~");
  }
  return {};
}

std::optional<uint32_t>
NewestSchema(std::string_view aKind)
{
  if (aKind == kServiceKind) {
    return kServiceSchema;
  }
  if (aKind == kLimitKind) {
    return kLimitSchema;
  }
  return std::nullopt;
}

} // namespace

Result<ServiceRecord>
ParseService(const wire::Record& aRecord)
{
  if (auto form = RequireForm(aRecord, kServiceKind, kServiceSchema); !form) {
    return tl::unexpected(form.error());
  }
  if (auto name = RequireName(aRecord.name()); !name) {
    return tl::unexpected(name.error());
  }
  const Result<boost::json::object> body = ParseBody(aRecord);
  if (!body) {
    return tl::unexpected(body.error());
  }
  ServiceRecord record;
  record.name = ServiceName{ aRecord.name() };
  record.revision = aRecord.revision();
  record.prefix = "/" + aRecord.name();
  JsonFields fields(*body, "");
  ReadPrefix(fields, record.prefix);
  ReadSource(fields, "key", record.key);
  ReadSource(fields, "customer", record.customer);
  ReadSlots(fields, record.slots);
  fields.Read("idempotent_methods", record.idempotentMethods);
  ReadRetention(fields, record.retention);
  ReadMilliseconds(fields, "default_deadline_ms", 1, record.defaultDeadline);
  ReadMilliseconds(fields, "max_queue_ms", 0, record.maxQueueTime);
  ReadMilliseconds(fields, "cold_start_ms", 0, record.coldStart);
  ReadPolicy(fields, "placement", record.placementPolicy);
  ReadPolicy(fields, "admission", record.admissionPolicy);
  ReadPolicy(fields, "health", record.healthPolicy);
  ReadWeights(fields, record.weights);
  fields.Read("deadline_window", record.deadlineWindow);
  ReadObjective(fields, record.objective);
  if (auto finished = fields.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return record;
}

Result<LimitRecord>
ParseLimit(const wire::Record& aRecord)
{
  if (auto form = RequireForm(aRecord, kLimitKind, kLimitSchema); !form) {
    return tl::unexpected(form.error());
  }
  const size_t slash = aRecord.name().find('/');
  if (slash == std::string::npos || slash == 0 ||
      slash + 1 == aRecord.name().size()) {
    return Fail(Code::InvalidRecord,
                "The name '" + aRecord.name() +
                  "' is not allowed: a limit is named SERVICE/CUSTOMER.");
  }
  const Result<boost::json::object> body = ParseBody(aRecord);
  if (!body) {
    return tl::unexpected(body.error());
  }
  LimitRecord record;
  record.service = ServiceName{ aRecord.name().substr(0, slash) };
  record.customer = CustomerName{ aRecord.name().substr(slash + 1) };
  record.revision = aRecord.revision();
  JsonFields fields(*body, "");
  uint64_t concurrent = 0;
  constexpr double kLeastWeight = 0.001;
  fields.Read("weight", record.weight, kLeastWeight, kMostWeight);
  fields.Read("max_concurrent", concurrent, 0, UINT32_MAX);
  fields.Read("rate_per_s", record.ratePerSecond, 0, kMostRate);
  record.maxConcurrent = static_cast<uint32_t>(concurrent);
  if (auto finished = fields.Finish(); !finished) {
    return tl::unexpected(finished.error());
  }
  return record;
}

bool
IsUnderstood(const wire::Record& aRecord)
{
  return NewestSchema(aRecord.kind()) == aRecord.schema_version();
}

Result<void>
Validate(const wire::Record& aRecord)
{
  if (!IsName(aRecord.kind()) || aRecord.schema_version() == 0) {
    return Fail(Code::InvalidRecord,
                "A record needs a kind and a schema_version from 1.");
  }
  if (aRecord.name().empty() || aRecord.name().size() > kMostNameBytes) {
    return Fail(Code::InvalidRecord, "A record's name has 1 to 200 bytes.");
  }
  if (aRecord.body_json().size() > kMostBodyBytes) {
    return Fail(Code::InvalidRecord, "A record's body has at most 64 KiB.");
  }
  if (aRecord.deleted()) {
    return {};
  }
  if (!IsUnderstood(aRecord)) {
    const Result<boost::json::object> body = ParseBody(aRecord);
    return body ? Result<void>{} : tl::unexpected(body.error());
  }
  if (aRecord.kind() == kServiceKind) {
    const Result<ServiceRecord> parsed = ParseService(aRecord);
    return parsed ? Result<void>{} : tl::unexpected(parsed.error());
  }
  const Result<LimitRecord> parsed = ParseLimit(aRecord);
  return parsed ? Result<void>{} : tl::unexpected(parsed.error());
}

} // namespace rattandyke::records

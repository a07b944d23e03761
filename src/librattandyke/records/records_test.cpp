#include "records/records.h"

#include <gtest/gtest.h>

namespace rattandyke::records {
namespace {

wire::Record
Service(const std::string& aBody, uint32_t aSchema = 1)
{
  wire::Record record;
  record.set_kind("service");
  record.set_name("board");
  record.set_schema_version(aSchema);
  record.set_body_json(aBody);
  return record;
}

// The operator sees each field of the example in docs/RECORDS.md in force.
TEST(Records, ReadsEveryField)
{
  const auto parsed = ParseService(Service(R"({
    "prefix": "/fleet", "key": "header:Farm", "customer": "path:3",
    "slots": 64, "idempotent_methods": ["GET"], "retention_s": 60,
    "default_deadline_ms": 5000, "max_queue_ms": 200, "cold_start_ms": 3000,
    "placement": "least_moves", "admission": "fair", "health": "evidence",
    "weights": {"imbalance": 2, "churn": 3.5, "unavailable": 0},
    "deadline_window": true,
    "objective": {"availability": 0.99, "latency_ms": 80,
                  "latency_share": 0.95}})"));
  ASSERT_TRUE(parsed) << parsed.error().message;
  EXPECT_EQ(parsed->prefix, "/fleet");
  EXPECT_EQ(parsed->key, (ValueSource{ ValueSource::Kind::Header, 0, "Farm" }));
  EXPECT_EQ(parsed->customer,
            (ValueSource{ ValueSource::Kind::PathSegment, 3, "" }));
  EXPECT_EQ(parsed->slots, 64U);
  EXPECT_EQ(parsed->idempotentMethods, std::set<std::string>{ "GET" });
  EXPECT_EQ(parsed->retention, std::chrono::seconds(60));
  EXPECT_EQ(parsed->weights, (PlacementWeights{ 2, 3.5, 0 }));
  EXPECT_TRUE(parsed->deadlineWindow);
  EXPECT_EQ(parsed->objective,
            (Objective{ 0.99, std::chrono::milliseconds(80), 0.95 }));
}

// The operator mistypes a field. The answer names the field, what was read and
// what is allowed, so that it can be mended without reading the code.
TEST(Records, RefusalsNameTheField)
{
  const std::pair<const char*, const char*> cases[] = {
    { R"({"slotz": 4})", "'slotz' is unknown" },
    { R"({"slots": 0})", "'slots' is 0; allowed is whole: a number from 1" },
    { R"({"slots": "4"})", "'slots'" },
    { R"({"slots": -1})", "'slots' is -1" },
    { R"({"key": "path:0"})", "'key' is path:0" },
    { R"({"key": "cookie:x"})", "'key'" },
    { R"({"prefix": "a/b"})", "'prefix'" },
    { R"({"weights": {"churn": -1}})", "'weights.churn' is -1" },
    { R"({"weights": {"moves": 1}})", "'weights.moves' is unknown" },
    { R"({"objective": 3})", "'objective'" },
    { R"({"idempotent_methods": [1]})", "'idempotent_methods'" },
    { R"([])", "not a JSON object" },
    { R"({"slots": 4)", "not a JSON object" },
  };
  for (const auto& [body, text] : cases) {
    const auto result = Validate(Service(body));
    ASSERT_FALSE(result) << body;
    EXPECT_EQ(result.error().code, Code::InvalidRecord);
    EXPECT_NE(result.error().message.find(text), std::string::npos)
      << result.error().message;
  }
}

// A newer product's record reaches an older host while a change rolls out. It
// is accepted and kept whole, and must not be applied by half.
TEST(Records, NewerFormsPassButAreNotUnderstood)
{
  const wire::Record newer = Service(R"({"regions": [1]})", 2);
  EXPECT_TRUE(Validate(newer));
  EXPECT_FALSE(IsUnderstood(newer));
  EXPECT_FALSE(ParseService(newer));
  wire::Record other = Service(R"({"a": 1})", 7);
  other.set_kind("calendar");
  EXPECT_TRUE(Validate(other));
  EXPECT_FALSE(IsUnderstood(other));
}

TEST(Records, ReadsLimits)
{
  wire::Record record;
  record.set_kind("limit");
  record.set_name("board/big");
  record.set_schema_version(1);
  record.set_body_json(R"({"weight": 0.5, "max_concurrent": 8})");
  const auto parsed = ParseLimit(record);
  ASSERT_TRUE(parsed) << parsed.error().message;
  EXPECT_EQ(parsed->service.value, "board");
  EXPECT_EQ(parsed->customer.value, "big");
  EXPECT_EQ(parsed->weight, 0.5);
  EXPECT_EQ(parsed->maxConcurrent, 8U);
  record.set_name("board");
  EXPECT_FALSE(Validate(record));
}

} // namespace
} // namespace rattandyke::records

#include "agent/announcement_json.h"

#include <algorithm>
#include <charconv>
#include <optional>

#include <boost/json.hpp>

#include "base/endpoint.h"

namespace rattandyke::agent {

namespace {

namespace json = boost::json;

constexpr size_t kLongestName = 128;
constexpr int64_t kMostSlots = 65535;
constexpr int64_t kMostHoldMs = 250;
constexpr size_t kShownOfValue = 40;

bool
IsName(std::string_view aText)
{
  const auto isAllowed = [](char aCharacter) {
    return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 ||
           aCharacter == '.' || aCharacter == '_' || aCharacter == '-';
  };
  return !aText.empty() && aText.size() <= kLongestName &&
         std::all_of(aText.begin(), aText.end(), isAllowed);
}

/// Reads fields of one object and keeps the first complaint.
class FieldReader
{
public:
  explicit FieldReader(const json::object& aObject)
    : mObject(aObject)
  {
  }

  std::string Name(std::string_view aField)
  {
    const json::value* value = mObject.if_contains(aField);
    if (value == nullptr || !value->is_string() ||
        !IsName(value->get_string())) {
      Complain(aField, "1 to 128 characters of A-Z a-z 0-9 . _ -");
      return {};
    }
    return std::string(value->get_string());
  }

  Endpoint Address(std::string_view aField)
  {
    const json::value* value = mObject.if_contains(aField);
    if (value != nullptr && value->is_string()) {
      auto endpoint = ParseEndpoint(std::string_view(value->get_string()));
      if (endpoint && endpoint->port != 0) {
        return *endpoint;
      }
    }
    Complain(aField, "\"IP:PORT\"");
    return {};
  }

  uint64_t Decimal(std::string_view aField, uint64_t aLeast)
  {
    const json::value* value = mObject.if_contains(aField);
    if (value != nullptr && value->is_string()) {
      const std::string_view text = value->get_string();
      uint64_t number = 0;
      const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
      if (error == std::errc{} && end == text.data() + text.size() &&
          number >= aLeast) {
        return number;
      }
    }
    Complain(aField, "a 64-bit number as a decimal string");
    return 0;
  }

  int64_t Number(std::string_view aField, int64_t aLeast, int64_t aMost)
  {
    const json::value* value = mObject.if_contains(aField);
    if (value != nullptr && value->is_int64() && value->get_int64() >= aLeast &&
        value->get_int64() <= aMost) {
      return value->get_int64();
    }
    Complain(aField,
             "a number from " + std::to_string(aLeast) + " to " +
               std::to_string(aMost));
    return aLeast;
  }

  bool Flag(std::string_view aField)
  {
    const json::value* value = mObject.if_contains(aField);
    if (value == nullptr) {
      return false;
    }
    if (!value->is_bool()) {
      Complain(aField, "true or false");
      return false;
    }
    return value->get_bool();
  }

  bool Has(std::string_view aField) const
  {
    return mObject.if_contains(aField) != nullptr;
  }

  const std::string& Complaint() const { return mComplaint; }

private:
  void Complain(std::string_view aField, const std::string& aAllowed)
  {
    if (!mComplaint.empty()) {
      return;
    }
    const json::value* value = mObject.if_contains(aField);
    const std::string read =
      value == nullptr ? "nothing"
                       : json::serialize(*value).substr(0, kShownOfValue);
    mComplaint = "Field '" + std::string(aField) + "': read " + read +
                 "; allowed is " + aAllowed + ".";
  }

  const json::object& mObject;
  std::string mComplaint;
};

std::string
Decimal(uint64_t aNumber)
{
  return std::to_string(aNumber);
}

struct GrantWriter
{
  json::object operator()(const SlotRangeGrant& aGrant) const
  {
    return { { "first_slot", aGrant.first.value },
             { "last_slot", aGrant.last.value },
             { "fence", Decimal(aGrant.fence.value) } };
  }
  json::object operator()(const KeyGrant& aGrant) const
  {
    return { { "key", aGrant.key }, { "fence", Decimal(aGrant.fence.value) } };
  }
};

json::object
ErrorObject(const AnnounceAnswer& aAnswer)
{
  return { { "code", static_cast<uint16_t>(aAnswer.code) },
           { "name", Describe(aAnswer.code).name },
           { "message", aAnswer.message } };
}

} // namespace

Result<Announcement>
ParseAnnouncement(std::string_view aText)
{
  boost::system::error_code error;
  const json::value value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return Fail(Code::MalformedRequest, "The body is not a JSON object.");
  }
  FieldReader fields(value.get_object());
  Announcement announcement;
  announcement.service = { fields.Name("service") };
  announcement.name = { fields.Name("name") };
  announcement.incarnation = fields.Decimal("incarnation", 1);
  announcement.address = fields.Address("address");
  announcement.dataCentre = { fields.Name("data_centre") };
  announcement.slots =
    static_cast<uint32_t>(fields.Number("slots", 1, kMostSlots));
  announcement.checksFences = fields.Flag("checks_fences");
  announcement.draining = fields.Flag("draining");
  announcement.grantsVersion = { fields.Decimal("grants_version", 0) };
  if (fields.Has("hold_ms")) {
    announcement.hold =
      std::chrono::milliseconds(fields.Number("hold_ms", 0, kMostHoldMs));
  }
  if (!fields.Complaint().empty()) {
    return Fail(Code::MalformedRequest, fields.Complaint());
  }
  return announcement;
}

std::string
ToJson(const AnnounceAnswer& aAnswer)
{
  if (aAnswer.code != Code::Ok) {
    return json::serialize(ErrorObject(aAnswer));
  }
  json::object object{ { "lease_ms", aAnswer.lease.count() },
                       { "next_announce_ms", aAnswer.nextAnnounce.count() },
                       { "grants_version",
                         Decimal(aAnswer.grantsVersion.value) } };
  json::array hosts;
  for (const Endpoint& host : aAnswer.hosts) {
    hosts.emplace_back(ToString(host));
  }
  object["hosts"] = std::move(hosts);
  if (aAnswer.grantsIncluded) {
    json::array grants;
    for (const Grant& grant : aAnswer.grants) {
      grants.emplace_back(std::visit(GrantWriter{}, grant));
    }
    object["grants"] = std::move(grants);
  }
  return json::serialize(object);
}

} // namespace rattandyke::agent

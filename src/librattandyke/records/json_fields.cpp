#include "records/json_fields.h"

#include <sstream>

namespace rattandyke::records {

namespace {

std::string
RangeText(auto aLeast, auto aMost)
{
  std::ostringstream text;
  text << "a number from " << aLeast << " to " << aMost;
  return text.str();
}

std::string
Join(const std::set<std::string, std::less<>>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    text += (text.empty() ? "" : ", ") + name;
  }
  return text;
}

} // namespace

JsonFields::JsonFields(const boost::json::object& aObject, std::string aPath)
  : mObject(aObject)
  , mPath(std::move(aPath))
{
}

const boost::json::value*
JsonFields::Find(std::string_view aName)
{
  mKnown.emplace(aName);
  return mObject.if_contains(aName);
}

void
JsonFields::Refuse(std::string_view aName,
                   std::string_view aAllowed,
                   std::string_view aRead)
{
  if (mError) {
    return;
  }
  std::string message = "Field '" + mPath + std::string(aName) + "' is ";
  message += std::string(aRead) + "; allowed is " + std::string(aAllowed) + ".";
  mError = Error{ Code::InvalidRecord, std::move(message) };
}

void
JsonFields::Take(const Result<void>& aInner)
{
  if (!aInner && !mError) {
    mError = aInner.error();
  }
}

void
JsonFields::Read(std::string_view aName, bool& aTarget)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_bool()) {
    return Refuse(aName, "true or false", boost::json::serialize(*value));
  }
  aTarget = value->get_bool();
}

void
JsonFields::Read(std::string_view aName, std::string& aTarget)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_string()) {
    return Refuse(aName, "a text", boost::json::serialize(*value));
  }
  aTarget = std::string(value->get_string());
}

void
JsonFields::Read(std::string_view aName,
                 double& aTarget,
                 double aLeast,
                 double aMost)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  boost::system::error_code error;
  const double read = value->to_number<double>(error);
  if (error || read < aLeast || read > aMost) {
    return Refuse(
      aName, RangeText(aLeast, aMost), boost::json::serialize(*value));
  }
  aTarget = read;
}

void
JsonFields::Read(std::string_view aName,
                 uint64_t& aTarget,
                 uint64_t aLeast,
                 uint64_t aMost)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  boost::system::error_code error;
  const auto read = value->to_number<uint64_t>(error);
  if (error || read < aLeast || read > aMost) {
    return Refuse(aName,
                  "whole: " + RangeText(aLeast, aMost),
                  boost::json::serialize(*value));
  }
  aTarget = read;
}

void
JsonFields::Read(std::string_view aName, std::set<std::string>& aTarget)
{
  constexpr std::string_view kAllowed = "a list of texts";
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    return Refuse(aName, kAllowed, boost::json::serialize(*value));
  }
  std::set<std::string> read;
  for (const boost::json::value& item : value->get_array()) {
    if (!item.is_string() || item.get_string().empty()) {
      return Refuse(aName, kAllowed, boost::json::serialize(*value));
    }
    read.emplace(item.get_string());
  }
  aTarget = std::move(read);
}

const boost::json::object*
JsonFields::Object(std::string_view aName)
{
  const boost::json::value* value = Find(aName);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_object()) {
    Refuse(aName, "an object", boost::json::serialize(*value));
    return nullptr;
  }
  return &value->get_object();
}

Result<void>
JsonFields::Finish()
{
  for (const auto& field : mObject) {
    if (!mKnown.contains(std::string_view(field.key()))) {
      Refuse(field.key(), "one of: " + Join(mKnown), "unknown");
    }
  }
  if (mError) {
    return tl::unexpected<Error>(*mError);
  }
  return {};
}

} // namespace rattandyke::records

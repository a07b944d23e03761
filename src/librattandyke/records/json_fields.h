/// Reads the fields of a JSON object one by one, keeping the first error.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include <rattandyke/result.h>

namespace rattandyke::records {

/// Typed access to the fields of one object of a record's body. Each method
/// leaves its target alone when the field is absent. After the last field,
/// Finish tells the first error: a field of the wrong type, out of range, or
/// unknown. Not thread-safe.
class JsonFields
{
public:
  /// @param aPath prefix of field names in messages, "" or "weights.".
  JsonFields(const boost::json::object& aObject, std::string aPath);

  void Read(std::string_view aName, bool& aTarget);
  void Read(std::string_view aName, std::string& aTarget);
  void Read(std::string_view aName,
            double& aTarget,
            double aLeast,
            double aMost);
  void Read(std::string_view aName,
            uint64_t& aTarget,
            uint64_t aLeast,
            uint64_t aMost);
  void Read(std::string_view aName, std::set<std::string>& aTarget);

  /// @return the object of a field, or null if absent or of another type.
  const boost::json::object* Object(std::string_view aName);

  /// Notes an error found by the caller, unless there is an earlier one.
  void Refuse(std::string_view aName,
              std::string_view aAllowed,
              std::string_view aRead);

  /// Takes over the error of an object inside this one.
  void Take(const Result<void>& aInner);

  Result<void> Finish();

private:
  const boost::json::value* Find(std::string_view aName);

  const boost::json::object& mObject;
  std::string mPath;
  std::set<std::string, std::less<>> mKnown;
  std::optional<Error> mError;
};

} // namespace rattandyke::records

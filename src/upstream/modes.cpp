#include "upstream/modes.h"

#include <boost/json.hpp>

namespace rattandyke::upstream {

namespace {

/// Sets one behaviour from its JSON value. Throws if the type is wrong.
/// @return whether there is a behaviour of that name.
bool
SetMode(Modes& aModes, std::string_view aName, const boost::json::value& aValue)
{
  if (aName == "shed") {
    aModes.shed = aValue.to_number<double>();
  } else if (aName == "hang") {
    aModes.hang = aValue.as_bool();
  } else if (aName == "lie_in_health") {
    aModes.lieInHealth = aValue.as_bool();
  } else if (aName == "ignore_revoke") {
    aModes.ignoreRevoke = aValue.as_bool();
  } else if (aName == "check_fences") {
    aModes.checkFences = aValue.as_bool();
  } else if (aName == "drip_ms") {
    aModes.drip = std::chrono::milliseconds(aValue.to_number<int64_t>());
  } else if (aName == "die_mid_answer") {
    aModes.dieMidAnswer = aValue.to_number<double>();
  } else if (aName == "crash_marker") {
    aModes.crashMarker = boost::json::value_to<std::string>(aValue);
  } else if (aName == "rate_limit") {
    aModes.rateLimit = aValue.to_number<double>();
  } else if (aName == "retry_after") {
    aModes.retryAfter = aValue.to_number<double>();
  } else if (aName == "drain") {
    aModes.drain = aValue.as_bool();
  } else {
    return false;
  }
  return true;
}

} // namespace

Result<Modes>
ChangeModes(Modes aModes, std::string_view aJsonText)
{
  try {
    const auto parsed = boost::json::parse(
      boost::json::string_view(aJsonText.data(), aJsonText.size()));
    for (const auto& [key, value] : parsed.as_object()) {
      const std::string name(key);
      if (!SetMode(aModes, name, value)) {
        return Fail(Code::InvalidSettings, "No mode is named '" + name + "'.");
      }
    }
  } catch (const std::exception& error) {
    return Fail(Code::InvalidSettings,
                std::string("The modes cannot be read: ") + error.what());
  }
  return aModes;
}

std::string
ToJson(const Modes& aModes)
{
  return boost::json::serialize(
    boost::json::object{ { "shed", aModes.shed },
                         { "hang", aModes.hang },
                         { "lie_in_health", aModes.lieInHealth },
                         { "ignore_revoke", aModes.ignoreRevoke },
                         { "check_fences", aModes.checkFences },
                         { "drip_ms", aModes.drip.count() },
                         { "die_mid_answer", aModes.dieMidAnswer },
                         { "crash_marker", aModes.crashMarker },
                         { "rate_limit", aModes.rateLimit },
                         { "retry_after", aModes.retryAfter },
                         { "drain", aModes.drain } });
}

} // namespace rattandyke::upstream

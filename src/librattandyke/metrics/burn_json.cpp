#include "metrics/burn_json.h"

namespace rattandyke::metrics {
namespace {

namespace json = boost::json;

/// Nothing counts before or after these; a minute outside of them would
/// overflow when it is turned into a time.
constexpr int64_t kLeastMinute = 0;
constexpr int64_t kMostMinute = 100'000'000;
constexpr size_t kMinuteFields = 4;

json::array
MinutesOf(const BurnHistory& aHistory)
{
  json::array minutes;
  for (const auto& [minute, counts] : aHistory.Minutes()) {
    minutes.push_back(json::array{ minute.time_since_epoch().count(),
                                   counts.total,
                                   counts.failed,
                                   counts.slow });
  }
  return minutes;
}

json::object
ObjectiveOf(const records::Objective& aObjective)
{
  return { { "availability", aObjective.availability },
           { "latency_ms", aObjective.latency.count() },
           { "latency_share", aObjective.latencyShare } };
}

/// Throws boost::system::system_error or std::exception where the value is not
/// as ToJson writes it.
void
ReadMinute(const json::value& aValue, BurnHistory& aHistory)
{
  const json::array& fields = aValue.as_array();
  if (fields.size() < kMinuteFields) {
    throw std::out_of_range("a minute has too few numbers");
  }
  const auto minute = fields[0].to_number<int64_t>();
  if (minute < kLeastMinute || minute > kMostMinute) {
    throw std::out_of_range("a minute is out of range");
  }
  const ObjectiveCounts counts{ fields[1].to_number<uint64_t>(),
                                fields[2].to_number<uint64_t>(),
                                fields[3].to_number<uint64_t>() };
  if (counts.failed > counts.total ||
      counts.slow > counts.total - counts.failed) {
    throw std::out_of_range("more requests are bad than there were");
  }
  aHistory.Add(WallTime{ std::chrono::minutes(minute) }, counts);
}

ServiceBurn
ReadService(const json::value& aValue)
{
  ServiceBurn burn;
  burn.service = std::string(aValue.at("service").as_string());
  const json::value& objective = aValue.at("objective");
  burn.objective.availability =
    objective.at("availability").to_number<double>();
  burn.objective.latency =
    std::chrono::milliseconds(objective.at("latency_ms").to_number<int64_t>());
  burn.objective.latencyShare =
    objective.at("latency_share").to_number<double>();
  for (const json::value& minute : aValue.at("minutes").as_array()) {
    ReadMinute(minute, burn.history);
  }
  return burn;
}

} // namespace

json::object
ToJson(const HostName& aHost, const std::vector<ServiceBurn>& aServices)
{
  json::array services;
  for (const ServiceBurn& burn : aServices) {
    services.push_back(
      json::object{ { "service", burn.service },
                    { "objective", ObjectiveOf(burn.objective) },
                    { "minutes", MinutesOf(burn.history) } });
  }
  return { { "host", aHost.value }, { "services", std::move(services) } };
}

Result<std::vector<ServiceBurn>>
ParseBurn(const json::value& aJson)
{
  try {
    std::vector<ServiceBurn> services;
    for (const json::value& service : aJson.at("services").as_array()) {
      services.push_back(ReadService(service));
    }
    return services;
  } catch (const std::exception& error) {
    return Fail(
      Code::TransportFailed,
      "A host's burn is not as expected: " + std::string(error.what()) + ".");
  }
}

} // namespace rattandyke::metrics

/// What a host tells of its burn, as JSON: GET /v1/burn.
#pragma once

#include <string>
#include <vector>

#include <boost/json.hpp>

#include <rattandyke/result.h>

#include "metrics/burn.h"

namespace rattandyke::metrics {

/// One service as one host counted it.
struct ServiceBurn
{
  std::string service;
  records::Objective objective;
  BurnHistory history;
};

/// @return {"host", "services": [{"service", "objective", "minutes"}]}; a
/// minute is [minutes since 1970, all, failed, slow].
boost::json::object ToJson(const HostName& aHost,
                           const std::vector<ServiceBurn>& aServices);

/// Reads what ToJson wrote, on this host or another, of this version or a
/// later one: unknown fields are left out.
/// @return Code::TransportFailed naming what is wrong.
Result<std::vector<ServiceBurn>> ParseBurn(const boost::json::value& aJson);

} // namespace rattandyke::metrics

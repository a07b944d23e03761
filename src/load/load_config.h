/// What the load driver sends: services, customers and rates, from an INI file.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::load {

/// Section `[service NAME]`.
struct ServiceLoad
{
  ServiceName name;
  /// First path segment; the key is the second.
  std::string prefix;
  /// Share of all requests, against the other services.
  double share = 1;
  uint32_t keys = 100;
  /// Exponent of the keys' popularity; 0: all alike.
  double zipf = 1;
  /// Share of requests that are POST; the others are GET.
  double writeShare = 0.2;
  /// Share of the POSTs that carry an Idempotency-Key.
  double keyedShare = 0.5;
  uint32_t answerBytes = 64;
  uint32_t bodyBytes = 32;
};

/// Section `[customer NAME]`.
struct CustomerLoad
{
  CustomerName name;
  /// Share of all requests, against the other customers.
  double share = 1;
  /// Between these times its rate is multiplied.
  std::chrono::milliseconds surgeFrom{ 0 };
  std::chrono::milliseconds surgeUntil{ 0 };
  double surgeFactor = 1;
};

/// Section `[run]`, and all the others.
struct LoadConfig
{
  /// Requests a second, all customers together and without surges.
  double rate = 100;
  std::chrono::milliseconds duration{ 10000 };
  uint64_t maxRequests = 1000000;
  /// Requests under way at once; more are counted and not sent.
  uint32_t maxOutstanding = 5000;
  /// Deadline sent with each request.
  std::chrono::milliseconds timeout{ 5000 };
  /// A request with an Idempotency-Key, or a read, is sent again through
  /// another entry when its answer is as late as this. 0: never.
  std::chrono::milliseconds late{ 0 };
  /// How long after its intended start a request is sent again, if that is
  /// safe. 0: never.
  std::chrono::milliseconds patience{ 8000 };
  uint64_t seed = 1;
  std::vector<ServiceLoad> services;
  std::vector<CustomerLoad> customers;
};

/// @return the file's content, or Code::InvalidSettings naming the key.
Result<LoadConfig> ReadLoadConfig(const std::string& aPath);

/// As ReadLoadConfig, from text.
Result<LoadConfig> ParseLoadConfig(const std::string& aText);

} // namespace rattandyke::load

/// Typed forms of the records that operators submit.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "wire/table.pb.h"

namespace rattandyke::records {

/// Where a request carries a value: a path segment (1 is the first) or a
/// header. Written "path:2" or "header:Customer" in a record.
struct ValueSource
{
  enum class Kind
  {
    PathSegment,
    Header
  };
  Kind kind = Kind::PathSegment;
  uint32_t segment = 2;
  std::string header;
  bool operator==(const ValueSource&) const = default;
};

/// Weights of the measures in placement; larger matters more.
struct PlacementWeights
{
  double imbalance = 1.0;
  double churn = 1.0;
  double unavailable = 1.0;
  bool operator==(const PlacementWeights&) const = default;
};

/// Service-level objective of a service.
struct Objective
{
  double availability = 0.999;
  std::chrono::milliseconds latency{ 500 };
  double latencyShare = 0.99;
  bool operator==(const Objective&) const = default;
};

/// kind "service", schema version 1. The record's name is the service's name.
struct ServiceRecord
{
  ServiceName name;
  uint64_t revision = 0;
  /// First path segment of its requests, with the slash: "/board".
  std::string prefix;
  ValueSource key;
  ValueSource customer{ ValueSource::Kind::Header, 0, "Customer" };
  /// Hash ranges its keys are divided into; fixed once the record exists.
  uint32_t slots = 256;
  std::set<std::string> idempotentMethods{ "GET",
                                           "HEAD",
                                           "PUT",
                                           "DELETE",
                                           "OPTIONS" };
  /// How long an Idempotency-Key is remembered after its request ended.
  std::chrono::seconds retention{ 600 };
  std::chrono::milliseconds defaultDeadline{ 10000 };
  /// Longest wait in front of an upstream's slots before a refusal.
  std::chrono::milliseconds maxQueueTime{ 1000 };
  std::chrono::milliseconds coldStart{ 0 };
  std::string placementPolicy = "least_moves";
  std::string admissionPolicy = "fair";
  std::string healthPolicy = "evidence";
  PlacementWeights weights;
  /// In a deadline window nothing moves but what is lost or drowning.
  bool deadlineWindow = false;
  Objective objective;
};

/// kind "limit", schema version 1: one customer's share of one service. The
/// record's name is "SERVICE/CUSTOMER".
struct LimitRecord
{
  ServiceName service;
  CustomerName customer;
  uint64_t revision = 0;
  double weight = 1.0;
  /// 0: unlimited.
  uint32_t maxConcurrent = 0;
  double ratePerSecond = 0;
};

/// @param aRecord a record of kind "service".
/// @return its typed form, or Code::InvalidRecord naming the field.
Result<ServiceRecord> ParseService(const wire::Record& aRecord);

/// @param aRecord a record of kind "limit".
Result<LimitRecord> ParseLimit(const wire::Record& aRecord);

/// Whether this version of the product understands the record's kind and
/// schema version. A record it does not understand is stored and shown whole,
/// and has no effect.
bool IsUnderstood(const wire::Record& aRecord);

/// Checks a record as submitted. An unknown newer schema version passes.
Result<void> Validate(const wire::Record& aRecord);

} // namespace rattandyke::records

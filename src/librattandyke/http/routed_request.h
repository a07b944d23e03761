/// What the head of a caller's request says of its way.
#pragma once

#include <memory>
#include <string>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "http/headers.h"
#include "routing/routing_table.h"

namespace rattandyke::http {

/// A request whose service, key and customer are known.
struct RoutedRequest
{
  /// Keeps `record` alive; not used for finding the owner later on.
  std::shared_ptr<const routing::RoutingTable> table;
  const records::ServiceRecord* record = nullptr;
  std::string key;
  CustomerName customer;
  bool idempotent = false;
  std::string idempotencyKey;
  /// Empty: none was sent.
  std::string requestId;
  /// The caller's own deadline, or the record's default.
  std::chrono::milliseconds deadline{};
};

/// Customer of a request that names none.
inline constexpr std::string_view kAnonymousCustomer = "anonymous";

/// @param aHead  a parsed request head.
/// @param aTable the newest table.
/// @return the request, or MalformedRequest, UnknownService or MissingKey.
Result<RoutedRequest> Route(
  const RequestHead& aHead,
  std::shared_ptr<const routing::RoutingTable> aTable);

/// Checks what the parser leaves open: version, target, Host, and that no field
/// that is read here is said to concern the connection only.
Result<void> CheckHead(const RequestHead& aHead);

} // namespace rattandyke::http

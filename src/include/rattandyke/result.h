/// Numbered result codes and the error type of every fallible call.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace rattandyke {

/// One row of docs/ERRORS.md. Numbers are stable: a number is never reused.
/// 1xx caller, 2xx routing and upstreams, 3xx control, 4xx storage,
/// 5xx settings and start, 6xx operators.
enum class Code : uint16_t
{
  Ok = 0,
  MalformedRequest = 101,
  RequestTooLarge = 102,
  UnknownService = 103,
  MissingKey = 104,
  DeadlineExceeded = 105,
  IdempotencyKeyReused = 106,
  CallerGone = 107,
  AnswerNotKept = 108,
  NoOwner = 201,
  Overloaded = 202,
  UpstreamUnreachable = 203,
  UpstreamBroken = 204,
  OutcomeUnknown = 205,
  RequestBanned = 206,
  TableLeaseExpired = 207,
  ShuttingDown = 208,
  LimitExceeded = 209,
  ClaimUnavailable = 210,
  UpstreamSuperseded = 211,
  LeaseUnavailable = 212,
  NotLeader = 301,
  NoQuorum = 302,
  RevisionConflict = 303,
  InvalidRecord = 304,
  UnknownRecord = 305,
  ProposalDropped = 306,
  UnknownUpstream = 307,
  StorageFailed = 401,
  StorageCorrupt = 402,
  StorageLocked = 403,
  DiskFull = 404,
  InvalidSettings = 501,
  AddressInUse = 502,
  UnknownPlugin = 503,
  TransportFailed = 504,
  Unauthorized = 601,
  UsageError = 602,
  HostUnreachable = 603,
};

/// Documentation of one result code.
struct CodeInfo
{
  Code code;
  /// Stable lower-case name, as it appears in answers and logs: "no-owner".
  std::string_view name;
  /// HTTP status that carries this code to a caller or operator; 0 if none.
  uint16_t httpStatus;
  /// One sentence on when it occurs.
  std::string_view meaning;
  /// One sentence on what the reader can do.
  std::string_view remedy;
};

/// All codes with their descriptions, in ascending order. Source of
/// docs/ERRORS.md.
std::span<const CodeInfo> AllCodes();

/// @param aCode a member of Code.
/// @return its description, or that of Ok if the table does not contain aCode.
const CodeInfo& Describe(Code aCode);

/// Error of a failed call: a code for programs and a message for people.
struct Error
{
  Code code = Code::Ok;
  std::string message;
};

template<typename T>
using Result = tl::expected<T, Error>;

/// @return an unexpected value to return from a function that gives a Result.
inline tl::unexpected<Error>
Fail(Code aCode, std::string aMessage)
{
  return tl::unexpected<Error>(Error{ aCode, std::move(aMessage) });
}

} // namespace rattandyke

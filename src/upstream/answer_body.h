/// Body of the stand-in upstream's answers: names the request that it answers
/// and carries its own length and checksum, so that the load driver can tell a
/// crossed or shortened answer from a whole one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <rattandyke/result.h>

namespace rattandyke::upstream {

/// What an answer says of the request that it belongs to.
struct AnswerIdentity
{
  /// The load driver's own name of the request.
  std::string request;
  std::string service;
  std::string key;
  std::string customer;
  uint64_t fence = 0;
  std::string upstream;
  bool operator==(const AnswerIdentity&) const = default;
};

/// @param aIdentity named in the first line, as JSON.
/// @param aPayloadBytes bytes after that line, made from the request's name.
std::string MakeAnswerBody(const AnswerIdentity& aIdentity,
                           size_t aPayloadBytes);

/// @param aBody an answer's whole body.
/// @return whom it answers, or Code::UpstreamBroken if it is shortened,
/// lengthened or altered.
Result<AnswerIdentity> ParseAnswerBody(std::string_view aBody);

} // namespace rattandyke::upstream

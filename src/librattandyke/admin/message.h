/// Requests and answers of the operators' API, free of sockets.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include <rattandyke/result.h>

namespace rattandyke::admin {

/// One call as it came in.
struct ApiRequest
{
  std::string method;
  /// Segments of the path, decoded: {"v1", "records"}.
  std::vector<std::string> path;
  /// Parameters after the question mark, decoded.
  std::map<std::string, std::string, std::less<>> query;
  /// Bearer token; empty if there is none.
  std::string token;
  /// If-Match without its quotes; nothing if the header is missing.
  std::optional<std::string> ifMatch;
  /// Submission-Id; empty if the header is missing.
  std::string submissionId;
  std::string body;
  /// It came from this machine.
  bool fromLoopback = false;

  /// @return a parameter's value, or empty.
  std::string Query(std::string_view aName) const;
};

struct ApiAnswer
{
  unsigned status = 200;
  std::string contentType = "application/json";
  std::string body;
};

using Responder = std::function<void(ApiAnswer)>;

/// @param aTarget path and query as in the request line.
/// @return whether it could be decoded into path and query of aRequest.
bool DecodeTarget(std::string_view aTarget, ApiRequest& aRequest);

/// @return the text with everything but unreserved characters as %XX.
std::string PercentEncoded(std::string_view aText);

ApiAnswer JsonAnswer(const boost::json::value& aValue, unsigned aStatus = 200);

/// @return {"code", "name", "message", "remedy"} with the code's HTTP status.
ApiAnswer ErrorAnswer(const Error& aError);

} // namespace rattandyke::admin

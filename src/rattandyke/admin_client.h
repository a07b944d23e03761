/// Calls of the operators' API from the command line.
#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

#include "rattandyke/command.h"

namespace rattandyke::cli {

/// One call.
struct AdminCall
{
  std::string method = "GET";
  /// With /v1/ and parameters, encoded.
  std::string target{};
  std::string ifMatch{};
  std::string submissionId{};
  std::string body{};
};

/// Asks one host. Not thread-safe.
class AdminClient
{
public:
  /// @param aToken empty: none is sent.
  AdminClient(Endpoint aHost,
              std::string aToken,
              std::chrono::milliseconds aTimeout);

  /// @return the answer, the error that the host told, or
  /// Code::HostUnreachable.
  Result<boost::json::value> Ask(const AdminCall& aCall) const;

  /// @return a client of another host, with the same token and timeout.
  AdminClient ToHost(const Endpoint& aHost) const
  {
    return AdminClient(aHost, mToken, mTimeout);
  }

  /// Asks until a call that may be sent again got through, or the timeout.
  /// @param aCall must be a read, or carry a submission id.
  Result<boost::json::value> AskAgain(const AdminCall& aCall) const;

  /// @param aTarget of a list; without "after".
  /// @return the items of all pages.
  Result<boost::json::array> AskList(const std::string& aTarget) const;

private:
  Endpoint mHost;
  std::string mToken;
  std::chrono::milliseconds mTimeout;
};

/// The arguments that all commands towards a host share.
class HostArguments
{
public:
  explicit HostArguments(CommandLine& aLine);

  /// To be called after parsing.
  /// @return Code::UsageError if an argument is wrong.
  Result<AdminClient> Client() const;

  /// Whether the output is for programs.
  bool Json() const { return mJson.getValue(); }

  std::chrono::milliseconds Timeout() const;

private:
  TCLAP::ValueArg<std::string> mHost;
  TCLAP::ValueArg<std::string> mTokenFile;
  TCLAP::ValueArg<unsigned> mTimeout;
  TCLAP::SwitchArg mJson;
};

} // namespace rattandyke::cli

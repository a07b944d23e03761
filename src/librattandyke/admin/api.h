/// The operators' API: routes, rights and what each call does. Free of
/// sockets; AdminServer joins it to HTTP. docs/ADMIN-API.md is its reference.
#pragma once

#include <memory>

#include "admin/message.h"
#include "admin/tokens.h"
#include "agent/calls.h"
#include "base/clock.h"

namespace rattandyke::admin {

/// What this host knows of itself. Thread-safe.
class HostView
{
public:
  virtual ~HostView() = default;
  /// @return name, roles, version of the table, leader as seen from here.
  virtual boost::json::object Status() const = 0;
  /// @return the metrics page.
  virtual std::string Metrics() const = 0;
  /// @return requests against the objectives, by minute; metrics/burn_json.h.
  virtual boost::json::object Burn() const = 0;
};

/// Answers operators' calls: reads and writes go to the leader, status and
/// metrics are this host's own. Thread-safe.
class AdminApi
{
public:
  struct Options
  {
    std::vector<config::OperatorToken> tokens;
    /// Longest time for a call to the leader.
    std::chrono::milliseconds callTimeout{ 5000 };
  };

  /// @param aCalls, aView, aClock outlive the API.
  AdminApi(Options aOptions,
           agent::LeaderCalls& aCalls,
           const HostView& aView,
           const Clock& aClock);
  ~AdminApi();

  /// Takes over the tokens of reloaded settings.
  void ReplaceTokens(std::vector<config::OperatorToken> aTokens);

  /// @param aRespond called once, here or on the executor of LeaderCalls.
  void Handle(const ApiRequest& aRequest, const Responder& aRespond);

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace rattandyke::admin

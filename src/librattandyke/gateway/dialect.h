/// How a deployment's platform words what the gateway is told and answers.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <rattandyke/kernel.h>
#include <rattandyke/result.h>

#include "gateway/heartbeat.h"
#include "gateway/load_report.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// An instance leaves: nothing more is to be sent to it.
struct Deregistration
{
  std::string instance;
  /// See Heartbeat::life.
  uint64_t life = 0;
};

/// An operator wants nothing sent to the upstreams of a data centre any more,
/// or allows it again.
struct Evacuation
{
  DataCentre dataCentre;
  bool ends = false;
};

/// The items that stand, as operators wrote them.
struct ReadItems
{};

/// A call to a control host.
using ControlCall = std::
  variant<Heartbeat, Deregistration, wire::ChangeItems, Evacuation, ReadItems>;

/// Names of the HTTP headers between callers, entry hosts and upstreams.
struct HeaderNames
{
  /// Names one attempt of a caller; an upstream repeats it in its answer.
  std::string requestId;
  /// Milliseconds for which the sender will wait.
  std::string deadline;
  /// An upstream's proof that the answer is its own.
  std::string signature;
  /// Instance that a request is meant for; any other refuses it.
  std::string expectedInstance;
  /// In an answer: the upstream did not run the request.
  std::string notExecuted;
  std::string instance;
  /// Key of a request to a service whose keys have owners.
  std::string key;
  /// In an answer: the upstream's load, see Dialect::DecodeLoadReport.
  std::string load;
};

/// Translates between a platform's messages and the gateway's types. Decides
/// nothing and keeps no state. Thread-safe.
class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual const HeaderNames& Headers() const = 0;

  /// @return what a call to a control host asks for. Code::UnknownRecord if
  /// there is no such call, Code::InvalidRecord if it can't be read in full.
  virtual Result<ControlCall> DecodeCall(std::string_view aMethod,
                                         std::string_view aTarget,
                                         std::string_view aBody) const = 0;

  /// @return what an upstream tells with HeaderNames::load, or nothing if it
  /// can't be read.
  virtual std::optional<LoadReport> DecodeLoadReport(
    std::string_view aText) const = 0;

  /// @return whether a call is a heartbeat, by its method and path alone.
  virtual bool IsHeartbeat(std::string_view aMethod,
                           std::string_view aTarget) const = 0;

  virtual std::string Encode(const HeartbeatAnswer& aAnswer) const = 0;

  /// @return the items in force, laid out as operators send them.
  virtual std::string EncodeItems(const wire::GatewayState& aItems) const = 0;

  /// @return the body of a failure.
  virtual std::string Encode(const Error& aError) const = 0;

  /// @return whether a GET of this path asks if an entry host is ready.
  virtual bool IsReadinessPath(std::string_view aTarget) const = 0;
};

using DialectRegistry = Registry<Dialect>;

} // namespace rattandyke::gateway

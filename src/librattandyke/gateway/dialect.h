/// Interface to the message formats of a deployment's platform.
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

/// Call by which an upstream instance announces its shutdown. It receives no
/// further requests.
struct Deregistration
{
  /// Id of the instance.
  std::string instance;
  /// See Heartbeat::life.
  uint64_t life = 0;
};

/// Operator's call that starts or ends the evacuation of a data centre. During
/// an evacuation the data centre's upstreams receive no new requests.
struct Evacuation
{
  DataCentre dataCentre;
  /// Whether the call ends the evacuation rather than starts it.
  bool ends = false;
};

/// Operator's call for the current configuration items.
struct ReadItems
{};

/// Decoded call of an upstream or operator to a control host.
using ControlCall = std::
  variant<Heartbeat, Deregistration, wire::ChangeItems, Evacuation, ReadItems>;

/// Names of the HTTP headers between callers, entry hosts and upstreams.
struct HeaderNames
{
  /// Request: id of one attempt of the caller. An upstream repeats it in its
  /// response.
  std::string requestId;
  /// Request: milliseconds for which the sender waits for the response.
  std::string deadline;
  /// Response: signature of the upstream, which shows that the response is its
  /// own.
  std::string signature;
  /// Request: id of the instance that is to run it. Other instances refuse it.
  std::string expectedInstance;
  /// Response: the upstream did not run the request.
  std::string notExecuted;
  /// Response: id of the instance.
  std::string instance;
  /// Request: key, for a service whose keys are owned by upstreams.
  std::string key;
  /// Response: load report of the upstream, see Dialect::DecodeLoadReport.
  std::string load;
  /// Response: requests per second that the upstream accepts from all entry
  /// hosts together.
  std::string rateLimit;
  /// Response: 1 if the upstream leaves.
  std::string leaving;
};

/// Translates between the messages of a platform and the types of the gateway.
/// Implementations are stateless plug-ins that contain no decisions.
/// Thread-safe.
class Dialect
{
public:
  virtual ~Dialect() = default;

  virtual const HeaderNames& Headers() const = 0;

  /// Decodes a call to a control host.
  /// @return the call, Code::UnknownRecord if method and target name none, or
  /// Code::InvalidRecord if the body is incomplete or malformed.
  virtual Result<ControlCall> DecodeCall(std::string_view aMethod,
                                         std::string_view aTarget,
                                         std::string_view aBody) const = 0;

  /// Decodes the value of the HeaderNames::load header.
  /// @return the load report, or std::nullopt if the value is malformed.
  virtual std::optional<LoadReport> DecodeLoadReport(
    std::string_view aText) const = 0;

  /// @return whether method and target are those of a heartbeat. The body is
  /// not checked.
  virtual bool IsHeartbeat(std::string_view aMethod,
                           std::string_view aTarget) const = 0;

  /// @return whether method and target are those of an order without a version:
  /// one that arrives late can't be told from a new one.
  virtual bool IsUnversionedOrder(std::string_view aMethod,
                                  std::string_view aTarget) const = 0;

  /// @return the body of the response to a heartbeat.
  virtual std::string Encode(const HeartbeatAnswer& aAnswer) const = 0;

  /// @return the body of the response to ReadItems, in the format in which
  /// operators submit items.
  virtual std::string EncodeItems(const wire::GatewayState& aItems) const = 0;

  /// @return the body of an error response.
  virtual std::string Encode(const Error& aError) const = 0;

  /// @return whether the target is that of an entry host's readiness check.
  virtual bool IsReadinessPath(std::string_view aTarget) const = 0;
};

/// Registry of the dialects by the name in the `dialect` setting.
using DialectRegistry = Registry<Dialect>;

} // namespace rattandyke::gateway

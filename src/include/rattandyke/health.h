/// Plug-in kind "health": outlier detection and ejection of upstreams.
#pragma once

#include <variant>
#include <vector>

#include <rattandyke/kernel.h>
#include <rattandyke/types.h>

namespace rattandyke::health {

/// One process of an upstream, by name and incarnation.
struct UpstreamId
{
  UpstreamName name;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamId&) const = default; // NOLINT(*-nullptr)
};

/// Result of one request.
enum class Observation
{
  Succeeded,
  /// The upstream answered with a failure.
  Failed,
  /// The upstream refused the request because of overload.
  Shed,
  /// No connection, a lost connection, or no answer in time.
  Unreachable,
};

/// Event: a request result that this host observed. Health reports of the
/// upstreams themselves may be late or wrong, so they are not used.
struct Evidence
{
  UpstreamId upstream;
  Observation observation = Observation::Succeeded;
  Duration latency{};
  /// From the upstream's Retry-After, if it shed.
  Duration retryAfter{};
};

/// Event: the upstreams of the service changed.
struct Members
{
  struct Member
  {
    UpstreamId id;
    /// Slots it announced.
    uint32_t slots = 1;
    /// Time since registration, for the ramp-up after a cold start.
    Duration age{};
  };
  std::vector<Member> members;
};

using Event = std::variant<Evidence, Members>;

/// Decision on a request for a key that the upstream owns. Since each key has
/// one owner, requests to an ejected upstream fail fast instead of going to
/// another upstream.
struct Verdict
{
  bool accept = true;
  /// If not accepted: delay after which a retry may succeed.
  Duration retryAfter{};
  /// Usable slots, limited by cold start and load shedding; at least 1.
  uint32_t slots = 1;
};

struct Settings
{
  Duration coldStart{};
};

/// Outlier detector for the upstreams of one service. Not thread-safe.
class Health
{
public:
  virtual ~Health() = default;

  virtual void Step(const Event& aEvent, Instant aNow) = 0;

  /// Called before each request. Occasionally accepts one request to an ejected
  /// upstream as a probe.
  virtual Verdict Judge(const UpstreamId& aUpstream, Instant aNow) = 0;

  /// @return the upstreams that are ejected at aNow.
  virtual std::vector<UpstreamId> Ejected(Instant aNow) const = 0;
};

using HealthRegistry = Registry<Health, Settings>;

} // namespace rattandyke::health

/// Plug-in kind "health": which upstreams are worth sending to.
#pragma once

#include <variant>
#include <vector>

#include <rattandyke/kernel.h>
#include <rattandyke/types.h>

namespace rattandyke::health {

/// One life of an upstream.
struct UpstreamId
{
  UpstreamName name;
  uint64_t incarnation = 0;
  auto operator<=>(const UpstreamId&) const = default; // NOLINT(*-nullptr)
};

/// How one request went.
enum class Observation
{
  Succeeded,
  /// Answered with a failure of its own.
  Failed,
  /// Refused the request for overload.
  Shed,
  /// No connection, a lost connection, or no answer in time.
  Unreachable,
};

/// Something that this host saw itself; what an upstream says of its own
/// health lags or misleads, so it is not asked.
struct Evidence
{
  UpstreamId upstream;
  Observation observation = Observation::Succeeded;
  Duration latency{};
  /// From the upstream's Retry-After, if it shed.
  Duration retryAfter{};
};

/// The upstreams of the service changed.
struct Members
{
  struct Member
  {
    UpstreamId id;
    /// Slots it announced.
    uint32_t slots = 1;
    /// It registered this long ago; its cold start is ramped.
    Duration age{};
  };
  std::vector<Member> members;
};

using Event = std::variant<Evidence, Members>;

/// What to do with a request whose key the upstream owns. Since each key has
/// one owner, an ejected upstream's requests fail fast instead of going
/// elsewhere.
struct Verdict
{
  bool accept = true;
  /// If not accepted: when trying again can help.
  Duration retryAfter{};
  /// Slots to use now, as cold start and shedding allow; at least 1.
  uint32_t slots = 1;
};

struct Settings
{
  Duration coldStart{};
};

/// Judges the upstreams of one service. Not thread-safe.
class Health
{
public:
  virtual ~Health() = default;

  virtual void Step(const Event& aEvent, Instant aNow) = 0;

  /// Asked before each request; an ejected upstream is let one request through
  /// now and then as a probe.
  virtual Verdict Judge(const UpstreamId& aUpstream, Instant aNow) = 0;

  /// @return the upstreams that are ejected now.
  virtual std::vector<UpstreamId> Ejected(Instant aNow) const = 0;
};

using HealthRegistry = Registry<Health, Settings>;

} // namespace rattandyke::health

#include "http/health_desk.h"

#include <mutex>
#include <unordered_map>

#include "log/log.h"

namespace rattandyke::http {

namespace {

constexpr std::string_view kDefaultPolicy = "evidence";

std::unique_ptr<health::Health>
MakeHealth(const records::ServiceRecord& aRecord)
{
  const health::Settings settings{ aRecord.coldStart };
  auto made = health::HealthRegistry::Make(aRecord.healthPolicy, settings);
  if (!made) {
    log::Line(log::Part::Entry, log::Severity::Warning)
      << made.error().message << " Service " << aRecord.name.value << " uses '"
      << kDefaultPolicy << "'.";
    made = health::HealthRegistry::Make(kDefaultPolicy, settings);
  }
  return std::move(made.value());
}

health::Members
MembersOf(const routing::RoutingTable& aTable,
          const ServiceName& aService,
          WallTime aNow)
{
  health::Members members;
  for (const routing::UpstreamView* upstream : aTable.Upstreams()) {
    if (upstream->service == aService &&
        upstream->state != wire::UPSTREAM_STATE_LOST) {
      members.members.push_back({ { upstream->name, upstream->incarnation },
                                  upstream->slots,
                                  aNow - upstream->started });
    }
  }
  return members;
}

/// One service's plug-in.
struct Desk
{
  std::mutex mutex; // guards the rest
  std::unique_ptr<health::Health> health;
  /// The record it was made from, and the table its members are from.
  uint64_t revision = 0;
  TableVersion version;
};

} // namespace

struct HealthDesk::Impl
{
  std::shared_ptr<Desk> Find(const ServiceName& aService)
  {
    const std::lock_guard lock(mutex);
    const auto found = desks.find(aService);
    return found == desks.end() ? nullptr : found->second;
  }

  std::shared_ptr<Desk> FindOrMake(const ServiceName& aService)
  {
    const std::lock_guard lock(mutex);
    auto& desk = desks[aService];
    if (!desk) {
      desk = std::make_shared<Desk>();
    }
    return desk;
  }

  const Clock& clock;
  std::mutex mutex; // guards desks
  std::unordered_map<ServiceName, std::shared_ptr<Desk>> desks;
};

HealthDesk::HealthDesk(const Clock& aClock)
  : mImpl(new Impl{ aClock, {}, {} })
{
}

HealthDesk::~HealthDesk() = default;

health::Verdict
HealthDesk::Judge(const routing::RoutingTable& aTable,
                  const records::ServiceRecord& aRecord,
                  const health::UpstreamId& aUpstream)
{
  const auto desk = mImpl->FindOrMake(aRecord.name);
  const Instant now = mImpl->clock.Now();
  const std::lock_guard lock(desk->mutex);
  if (!desk->health || desk->revision != aRecord.revision) {
    desk->health = MakeHealth(aRecord);
    desk->revision = aRecord.revision;
    desk->version = {};
  }
  // Requests may hold tables of different age; an older one changes nothing.
  if (desk->version < aTable.Version()) {
    desk->version = aTable.Version();
    desk->health->Step(MembersOf(aTable, aRecord.name, mImpl->clock.Wall()),
                       now);
  }
  return desk->health->Judge(aUpstream, now);
}

void
HealthDesk::Tell(const ServiceName& aService, const health::Evidence& aEvidence)
{
  if (const auto desk = mImpl->Find(aService)) {
    const std::lock_guard lock(desk->mutex);
    if (desk->health) {
      desk->health->Step(aEvidence, mImpl->clock.Now());
    }
  }
}

} // namespace rattandyke::http

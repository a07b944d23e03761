#include "server/host_status.h"

#include "base/endpoint.h"

namespace rattandyke::server {

namespace {

boost::json::array
RolesOf(const config::Settings& aSettings)
{
  boost::json::array roles;
  if (aSettings.host.entry) {
    roles.emplace_back("entry");
  }
  if (aSettings.host.control) {
    roles.emplace_back("control");
  }
  return roles;
}

} // namespace

HostStatus::HostStatus(const config::Settings& aSettings,
                       Addresses aAddresses,
                       StatusSources aSources,
                       const Clock& aClock)
  : mSettings(aSettings)
  , mAddresses(std::move(aAddresses))
  , mSources(aSources)
  , mClock(aClock)
  , mStarted(aClock.Wall())
{
}

boost::json::object
HostStatus::Status() const
{
  boost::json::array live;
  for (const HostName& name : mSources.agent->LiveHosts()) {
    live.emplace_back(name.value);
  }
  const auto uptime =
    std::chrono::duration_cast<std::chrono::seconds>(mClock.Wall() - mStarted);
  boost::json::object status{
    { "host", mSettings.host.name.value },
    { "data_centre", mSettings.host.dataCentre.value },
    { "roles", RolesOf(mSettings) },
    { "version", RATTANDYKE_VERSION },
    { "uptime_s", uptime.count() },
    { "leaving", mLeaving.load() },
    { "leader", mSources.agent->Leader().value },
    { "table_version", mSources.agent->Table()->Version().value },
    { "table_lease", mSources.agent->TableLeaseValid(mClock.Now()) },
    { "live_entries", std::move(live) },
    { "addresses",
      { { "callers", ToString(mAddresses.callers) },
        { "upstreams", ToString(mAddresses.upstreams) },
        { "admin", ToString(mAddresses.admin) },
        { "peers", ToString(mAddresses.peers) } } },
  };
  if (mSources.entry != nullptr) {
    status["callers_connected"] = mSources.entry->Connections();
  }
  if (mSources.control != nullptr) {
    boost::system::error_code error;
    status["control"] =
      boost::json::parse(mSources.control->StatusJson(), error);
  }
  return status;
}

std::string
HostStatus::Metrics() const
{
  std::string page;
  const auto line = [&](std::string_view aName, uint64_t aValue) {
    page += "# TYPE " + std::string(aName) + " gauge\n";
    page += std::string(aName) + " " + std::to_string(aValue) + "\n";
  };
  line("rattandyke_table_version", mSources.agent->Table()->Version().value);
  line("rattandyke_table_lease_valid",
       mSources.agent->TableLeaseValid(mClock.Now()) ? 1 : 0);
  if (mSources.entry != nullptr) {
    line("rattandyke_callers_connected", mSources.entry->Connections());
  }
  return page + mSources.metrics->Page();
}

boost::json::object
HostStatus::Burn() const
{
  return mSources.metrics->Burn();
}

} // namespace rattandyke::server

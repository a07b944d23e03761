#include "config/table_rows.h"

namespace rattandyke::config {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

std::vector<Setting>
HostRows()
{
  return {
    { "host",
      "name",
      "",
      "host-1",
      Reload::Restart,
      "Name of this host, unique in the deployment.",
      NameKind{
        [](Settings & aSettings) -> auto& { return aSettings.host.name.value;
}
}
}
, { "host",
    "data_centre",
    "",
    "local",
    Reload::Restart,
    "Data centre that the host stands in.",
    NameKind{ [](Settings &
                 aSettings) -> auto& { return aSettings.host.dataCentre.value;
}
}
}
,
  { "host",
    "roles",
    "",
    "entry, control",
    Reload::Restart,
    "What the host does: entry takes callers' requests, control votes in "
    "the replicated log.",
    ChoicesKind{ { "entry", "control" },
                 [](Settings& aSettings, const std::vector<size_t>& aChoices) {
                   aSettings.host.entry = false;
                   aSettings.host.control = false;
                   for (const size_t choice : aChoices) {
                     (choice == 0 ? aSettings.host.entry
                                  : aSettings.host.control) = true;
                   }
                 } } },
  { "host",
    "data_folder",
    "",
    "./rattandyke-data",
    Reload::Restart,
    "Folder of the replicated log and of what the host keeps. One process "
    "at a time may use it.",
    PathKind{ [](Settings& aSettings, std::string aPath) {
      aSettings.host.dataFolder = std::move(aPath);
    } } },
}
;
}

std::vector<Setting>
ListenRows()
{
  return {
    { "listen",
      "callers",
      "",
      "127.0.0.1:7000",
      Reload::Restart,
      "Where callers' requests arrive. Port 0 takes a free one; "
      "DATA_FOLDER/ports.json tells which.",
      AddressKind{
        [](Settings & aSettings) -> auto& { return aSettings.listen.callers;
}
}
}
, { "listen",
    "upstreams",
    "",
    "127.0.0.1:7001",
    Reload::Restart,
    "Where upstreams announce themselves.",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.upstreams;
}
}
}
, { "listen",
    "admin",
    "",
    "127.0.0.1:7002",
    Reload::Restart,
    "Where operators' calls arrive. Beyond loopback it needs [tokens].",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.admin;
}
}
}
, { "listen",
    "peers",
    "",
    "127.0.0.1:7003",
    Reload::Restart,
    "Where other hosts reach this one. Beyond loopback it needs [curve].",
    AddressKind{
      [](Settings & aSettings) -> auto& { return aSettings.listen.peers;
}
}
}
,
  { "hosts",
    "NAME",
    "",
    "",
    Reload::Restart,
    "One line for each other host: its name and its peers address. A line "
    "for this host is needed if [listen] peers is on all interfaces: it "
    "tells by which IP the others reach it.",
    HostsKind{} },
  { "control",
    "hosts",
    "",
    "",
    Reload::Restart,
    "Names of the control hosts. Empty: this host alone, if [hosts] names "
    "no other.",
    NamesKind{
      [](Settings & aSettings) -> auto& { return aSettings.control.hosts;
}
}
}
, { "control",
    "election_timeout",
    "ms",
    "250",
    Reload::Restart,
    "A control host that hears its leader elects no other for so long; "
    "it waits a random time from this on. The same on all control hosts.",
    DurationKind{ [](Settings & aSettings)
                    -> auto& { return aSettings.control.electionTimeout;
}
, 20ms, 60s
}
}
,
}
;
}

} // namespace rattandyke::config

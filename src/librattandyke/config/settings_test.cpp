#include "base/endpoint.h"
#include "config/settings.h"
#include "config/table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rattandyke::config {
namespace {

constexpr std::string_view kThreeHosts = R"(# a host of three
[host]
name = host-1
data_centre = kolkata-1
roles = entry, control
data_folder = /var/lib/rattandyke

[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:7003

[hosts]
host-1 = 127.0.0.1:7003
host-2 = 127.0.0.1:7013
host-3 = [::1]:7023

[control]
hosts = host-1, host-2, host-3
[leases]
heartbeat = 50
)";

std::string
MessageOf(std::string_view aText)
{
  const Result<Settings> settings = ParseSettings(aText, "f.ini");
  return settings ? "accepted" : settings.error().message;
}

TEST(Settings, WithoutAFileAHostRunsAloneOnLoopback)
{
  const Settings settings = DefaultSettings();
  EXPECT_TRUE(settings.host.entry);
  EXPECT_TRUE(settings.host.control);
  EXPECT_EQ(settings.control.hosts, std::vector{ settings.host.name });
  for (const Endpoint& endpoint : { settings.listen.callers,
                                    settings.listen.upstreams,
                                    settings.listen.admin,
                                    settings.listen.peers }) {
    EXPECT_TRUE(IsLoopback(endpoint)) << ToString(endpoint);
  }
}

TEST(Settings, ReadsAHostOfThree)
{
  const Result<Settings> settings = ParseSettings(kThreeHosts, "f.ini");
  ASSERT_TRUE(settings) << settings.error().message;
  ASSERT_EQ(settings->peers.size(), 2U);
  EXPECT_EQ(settings->peers[1].address, (Endpoint{ "::1", 7023 }));
  EXPECT_EQ(settings->leases.heartbeat, Millis(50));
  EXPECT_EQ(settings->control.hosts.size(), 3U);
}

// An operator mistypes. The message must name file, line, section, key, what
// was read and what is allowed; a value that is only ignored would come out in
// a fault, months later.
TEST(Settings, EachMistakeIsNamedWithItsPlace)
{
  EXPECT_EQ(MessageOf("[leases]\nhost_lease = 5"),
            "f.ini:2: [leases] host_lease: read '5', allowed: 50 to 60000 ms");
  EXPECT_EQ(MessageOf("[host]\n\nnam = x"),
            "f.ini:3: [host] nam: read 'x', allowed: the keys name, "
            "data_centre, roles, data_folder");
  EXPECT_EQ(MessageOf("[hots]\nname = x"),
            "f.ini:2: [hots] name: read 'x', allowed: the sections host, "
            "listen, hosts, control, limits, leases, log, tokens, curve");
  EXPECT_EQ(MessageOf("[log]\nlevel = info\nlevel = debug"),
            "f.ini:3: [log] level: read 'debug', allowed: each key once");
  EXPECT_EQ(MessageOf("name = x"),
            "f.ini:1: name: read 'x', allowed: keys below a [section]");
  EXPECT_EQ(MessageOf("[listen]\nadmin = localhost:80"),
            "f.ini:2: [listen] admin: read 'localhost:80', allowed: an "
            "address by number, IP:PORT or [IPV6]:PORT");
}

TEST(Settings, ClashesBetweenSettingsAreErrors)
{
  EXPECT_NE(MessageOf("[leases]\nheartbeat = 500").find("at most half"),
            std::string::npos);
  EXPECT_NE(MessageOf("[listen]\nadmin = 10.0.0.1:80").find("[tokens]"),
            std::string::npos);
  EXPECT_NE(MessageOf("[listen]\npeers = 10.0.0.1:80").find("[curve]"),
            std::string::npos);
  EXPECT_NE(MessageOf("[host]\nroles = entry").find("control hosts"),
            std::string::npos);
  EXPECT_NE(MessageOf("[control]\nhosts = other").find("names from [hosts]"),
            std::string::npos);
}

// A mistyped secret would be copied from the message into a ticket.
TEST(Settings, SecretsAreNotRepeatedInMessages)
{
  const std::string message = MessageOf("[curve]\nsecret_key = hunter2");
  EXPECT_EQ(message.find("hunter2"), std::string::npos) << message;
  EXPECT_NE(message.find("Z85"), std::string::npos) << message;
}

// An operator edits the file and sends SIGHUP. What cannot be taken over must
// be named, or the operator believes in a value that is not in force.
TEST(Settings, ChangesAreSplitIntoAtOnceAndRestart)
{
  const auto before =
    ParseSettings("[log]\nlevel = info\n[limits]\nworkers = 2", "f.ini");
  const auto after = ParseSettings(
    "[limits]\nworkers = 3\n[log]\nlevel = debug\nformat = text", "f.ini");
  ASSERT_TRUE(before && after);
  const SettingChanges changes = Compare(*before, *after);
  EXPECT_EQ(changes.atOnce,
            (std::vector<std::string>{ "[log] format", "[log] level" }));
  EXPECT_EQ(changes.restart, std::vector<std::string>{ "[limits] workers" });
}

TEST(Settings, EveryDefaultIsAllowedAndDescribed)
{
  for (const Setting& setting : AllSettings()) {
    EXPECT_FALSE(setting.meaning.empty()) << setting.key;
    EXPECT_FALSE(Allowed(setting).empty()) << setting.key;
    Settings settings;
    if (!setting.FreeKey()) {
      EXPECT_TRUE(Assign(setting,
                         std::string(setting.key),
                         std::string(setting.defaultValue),
                         settings))
        << setting.key;
    }
  }
}

// Any bytes as a settings file: valid settings or a numbered error with a
// message, never a crash.
RC_GTEST_PROP(SettingsProperty, MutatedFilesAreReadOrRefused, ())
{
  std::string text(kThreeHosts);
  const auto changes =
    *rc::gen::container<std::vector<std::pair<size_t, char>>>(rc::gen::pair(
      rc::gen::inRange<size_t>(0, text.size()), rc::gen::arbitrary<char>()));
  for (const auto& [position, byte] : changes) {
    text[position] = byte;
  }
  const size_t size = *rc::gen::inRange<size_t>(0, text.size() + 1);
  const Result<Settings> settings =
    ParseSettings(std::string_view(text).substr(0, size), "f.ini");
  if (!settings) {
    RC_ASSERT(settings.error().code == Code::InvalidSettings);
    RC_ASSERT(!settings.error().message.empty());
  }
}

} // namespace
} // namespace rattandyke::config

#include "scheduling/allocator_directory.h"

#include <algorithm>
#include <chrono>
#include <map>

#include <gtest/gtest.h>

#include "routing/service_table.h"

namespace rattandyke::scheduling {
namespace {

constexpr uint32_t kGroups = 4096;
constexpr const char* kService = "desk";

std::string
Address(size_t aNumber)
{
  return "10.0." + std::to_string(aNumber / 250) + "." +
         std::to_string(aNumber % 250) + ":1";
}

AllocatorDirectory
Entries(size_t aCount, double aLinkMbits)
{
  AllocatorDirectory directory;
  for (size_t number = 0; number < aCount; ++number) {
    directory.PutEntry(Address(number), aLinkMbits);
  }
  return directory;
}

std::string
FirstOf(const AllocatorDirectory& aDirectory, uint32_t aGroup)
{
  return std::string(aDirectory.Select(kService, aGroup).first);
}

// Guards against a change of all home entries when a deployment is upgraded, or
// when all links state the same bandwidth: the host is that of builds which
// compare the hashes.
TEST(AllocatorDirectory, EqualWeightsSelectHighestHash)
{
  constexpr size_t kEntries = 68;
  const AllocatorDirectory unstated = Entries(kEntries, 0);
  const AllocatorDirectory equal = Entries(kEntries, 2.3);
  EXPECT_EQ(unstated.Rule(), AllocatorRule::EntriesAlike);
  EXPECT_EQ(equal.Rule(), AllocatorRule::EntriesByLink);
  for (uint32_t group = 0; group < kGroups; ++group) {
    const uint64_t hash =
      routing::HashKey(std::string(kService) + "/" + std::to_string(group));
    std::string expected;
    uint64_t highest = 0;
    for (size_t number = 0; number < kEntries; ++number) {
      const uint64_t mixed =
        routing::MixBits(hash ^ routing::HashKey(Address(number)));
      if (expected.empty() || mixed > highest) {
        highest = mixed;
        expected = Address(number);
      }
    }
    ASSERT_EQ(FirstOf(unstated, group), expected);
    ASSERT_EQ(FirstOf(equal, group), expected);
    EXPECT_TRUE(unstated.Select(kService, group).second.empty());
  }
}

// Load: the second customer's 56 entry hosts with 1.7 Mbit/s and 17 with 5.5
// Mbit/s. Guards against small hosts that allocate as often as large ones.
TEST(AllocatorDirectory, SharesFollowLinks)
{
  AllocatorDirectory directory;
  std::map<std::string, double, std::less<>> links;
  for (size_t number = 0; number < 73; ++number) {
    links[Address(number)] = number < 56 ? 1.7 : 5.5;
    directory.PutEntry(Address(number), links[Address(number)]);
  }
  std::map<double, double> groups;
  for (uint32_t group = 0; group < kGroups; ++group) {
    const auto selected = directory.Select(kService, group);
    EXPECT_NE(selected.first, selected.second);
    groups[links.find(selected.first)->second] += 1;
  }
  const double perSmall = groups[1.7] / 56 / 1.7;
  const double perLarge = groups[5.5] / 17 / 5.5;
  EXPECT_NEAR(perLarge / perSmall, 1, 0.1);
}

// Guards against moves of groups that a joining host does not gain, by which
// counts of cold upstreams would be lost. The second allocator must be the host
// that takes over when the first one leaves.
TEST(AllocatorDirectory, OnlyGroupsOfTheChangedHostMove)
{
  AllocatorDirectory before;
  for (size_t number = 0; number < 73; ++number) {
    before.PutEntry(Address(number), number % 4 == 0 ? 5.5 : 1.7);
  }
  AllocatorDirectory after = before;
  const std::string joined = Address(80);
  after.PutEntry(joined, 3);
  AllocatorDirectory left = after;
  const std::string leaving = Address(4);
  left.RemoveEntry(leaving);
  size_t gained = 0;
  for (uint32_t group = 0; group < kGroups; ++group) {
    const std::string host = FirstOf(after, group);
    gained += host == joined ? 1 : 0;
    EXPECT_TRUE(host == joined || host == FirstOf(before, group));
    EXPECT_EQ(FirstOf(left, group),
              host == leaving ? after.Select(kService, group).second : host);
  }
  EXPECT_GT(gained, 0U);
}

// Guards against other allocators in deployments whose entry hosts are alike:
// there, messages to control hosts cost more than they save.
TEST(AllocatorDirectory, LinksAreUnevenFromTheStatedSpreadOn)
{
  EXPECT_FALSE(AllocatorDirectory::HasUnevenLinks({}));
  EXPECT_FALSE(AllocatorDirectory::HasUnevenLinks({ 2.3, 2.3, 2.3 }));
  EXPECT_FALSE(AllocatorDirectory::HasUnevenLinks({ 2, 2.9 }));
  EXPECT_TRUE(AllocatorDirectory::HasUnevenLinks({ 1.7, 5.5, 1.7 }));
  EXPECT_FALSE(AllocatorDirectory::HasUnevenLinks({ 1.7, 5.5, 0 }));
}

// Guards against two rules in force at once: control hosts allocate only if
// there are few entry hosts and each of them follows the rule.
TEST(AllocatorDirectory, ControlHostsAllocateForFewEntriesThatStateTheirLinks)
{
  AllocatorDirectory directory =
    Entries(AllocatorDirectory::kMaxEntriesForControlHosts, 2.3);
  directory.PutControlHost("10.9.0.1:1", true, 1000);
  directory.PutControlHost("10.9.0.2:1", true, 1000);
  directory.PutControlHost("10.9.0.3:1", false, 1000);
  EXPECT_EQ(directory.Rule(), AllocatorRule::ControlHosts);
  EXPECT_EQ(directory.AllocatorCount(), 2U);
  const uint64_t two = directory.Fingerprint();
  directory.PutEntry(Address(900), 2.3);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
  directory.RemoveEntry(Address(900));
  EXPECT_EQ(directory.Fingerprint(), two);
  // An older build joins in a rolling upgrade.
  directory.PutEntry(Address(3), 0);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesAlike);
  directory.PutEntry(Address(3), 2.3);
  EXPECT_EQ(directory.Rule(), AllocatorRule::ControlHosts);
  directory.RemoveControlHost("10.9.0.1:1");
  EXPECT_EQ(directory.Select(kService, 7).first, "10.9.0.2:1");
  EXPECT_TRUE(directory.Select(kService, 7).second.empty());
  directory.PutControlHost("10.9.0.2:1", false, 1000);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
}

// Guards against other allocators in deployments whose links are all alike.
TEST(AllocatorDirectory, ControlHostsNeedMuchFasterLinksThanEntries)
{
  AllocatorDirectory directory = Entries(10, 1000);
  directory.PutControlHost("10.9.0.1:1", true, 1000);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
  for (uint32_t host = 0; host < 10; ++host) {
    directory.PutEntry(Address(host), 100);
  }
  EXPECT_EQ(directory.Rule(), AllocatorRule::ControlHosts);
  directory.PutControlHost("10.9.0.1:1", true, 990);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
}

// Guards against a load time that grows with the square of the hosts: 100,000
// of them would take minutes, and hosts of an earlier state must not stay.
TEST(AllocatorDirectory, ReplacingManyHostsGivesTheSameAsPuttingEach)
{
  constexpr size_t kEntries = 100000;
  std::vector<std::string> addresses;
  for (size_t number = 0; number < kEntries; ++number) {
    addresses.push_back(Address(number));
  }
  std::sort(addresses.begin(), addresses.end());
  std::vector<AllocatorDirectory::Statement> entries;
  for (const std::string& address : addresses) {
    entries.push_back({ address, 2.3 });
  }
  AllocatorDirectory replaced = Entries(3, 0);
  const auto start = std::chrono::steady_clock::now();
  replaced.Replace(entries, {});
  EXPECT_LT(std::chrono::steady_clock::now() - start,
            std::chrono::seconds{ 5 });
  EXPECT_EQ(replaced.EntryCount(), kEntries);
  entries.resize(50);
  replaced.Replace(entries, { { "10.9.0.1:1", 1000, true } });
  AllocatorDirectory put;
  put.PutControlHost("10.9.0.1:1", true, 1000);
  for (const auto& entry : entries) {
    put.PutEntry(entry.address, entry.linkMbits);
  }
  EXPECT_EQ(replaced.Rule(), AllocatorRule::ControlHosts);
  EXPECT_EQ(replaced.Fingerprint(), put.Fingerprint());
}

// Guards against control hosts that take over because their bandwidth is not
// configured, which is the default.
TEST(AllocatorDirectory, ControlHostsMustStateTheirLinks)
{
  AllocatorDirectory directory = Entries(10, 2.3);
  directory.PutControlHost("10.9.0.1:1", true, 0);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
  directory.PutControlHost("10.9.0.1:1", true, 1000);
  EXPECT_EQ(directory.Rule(), AllocatorRule::ControlHosts);
  directory.PutControlHost("10.9.0.2:1", true, 0);
  EXPECT_EQ(directory.Rule(), AllocatorRule::EntriesByLink);
}

} // namespace
} // namespace rattandyke::scheduling

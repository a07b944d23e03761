#include "control/state.h"

#include <gtest/gtest.h>

namespace rattandyke::control {
namespace {

/// Applies commands one after the other, as a replica does.
class Replica
{
public:
  wire::CallReply Apply(wire::Command aCommand)
  {
    aCommand.set_proposed_unix_ms(wall);
    log.push_back(aCommand);
    return state.Apply(LogIndex{ ++index }, aCommand).reply;
  }

  wire::CallReply Submit(uint64_t aExpected,
                         const std::string& aId,
                         const std::string& aBy,
                         const std::string& aBody = R"({"slots": 4})",
                         uint32_t aSchema = 1)
  {
    wire::Command command;
    wire::SubmitRecordCall& call = *command.mutable_submit_record();
    call.set_expected_revision(aExpected);
    call.mutable_record()->set_kind("service");
    call.mutable_record()->set_name("board");
    call.mutable_record()->set_schema_version(aSchema);
    call.mutable_record()->set_body_json(aBody);
    call.mutable_record()->set_submission_id(aId);
    call.mutable_record()->set_submitted_by(aBy);
    return Apply(command);
  }

  void Register(const std::string& aName, uint64_t aIncarnation)
  {
    wire::Command command;
    wire::UpstreamRegistration& registration =
      *command.mutable_register_upstreams()->add_registrations();
    registration.mutable_announced()->set_service("board");
    registration.mutable_announced()->set_name(aName);
    registration.mutable_announced()->set_incarnation(aIncarnation);
    registration.set_home("h1");
    Apply(command);
  }

  void Grant(uint32_t aSlot, const std::string& aName, uint64_t aIncarnation)
  {
    wire::Command command;
    command.mutable_grant_slots()->set_service("board");
    wire::SlotGrant& grant = *command.mutable_grant_slots()->add_grants();
    grant.mutable_released()->set_slot(aSlot);
    grant.mutable_released()->set_fence(SlotAt(aSlot).fence);
    grant.set_upstream(aName);
    grant.set_incarnation(aIncarnation);
    Apply(command);
  }

  void Lose(const std::string& aName)
  {
    const UpstreamEntry& entry = *Service().Find(aName);
    wire::Command command;
    command.mutable_set_upstream_state()->set_state(wire::UPSTREAM_STATE_LOST);
    wire::UpstreamRef& ref =
      *command.mutable_set_upstream_state()->add_upstreams();
    ref.set_service("board");
    ref.set_upstream(aName);
    ref.set_incarnation(entry.view.incarnation());
    ref.set_registered_version(entry.view.registered_version());
    Apply(command);
  }

  const ServiceAssignments& Service() const
  {
    return *state.Owners().Find("board");
  }
  const Holding& SlotAt(uint32_t aSlot) const { return Service().slots[aSlot]; }
  std::string OwnerOf(uint32_t aSlot) const
  {
    const UpstreamEntry* owner = Service().At(SlotAt(aSlot).owner);
    return owner == nullptr ? "" : owner->view.name();
  }

  State state;
  uint64_t index = 0;
  uint64_t wall = 1'000'000;
  std::vector<wire::Command> log;
};

constexpr auto kOk = static_cast<uint32_t>(Code::Ok);
constexpr auto kConflict = static_cast<uint32_t>(Code::RevisionConflict);

// Two operators change the same record, both on the revision they read. One
// wins; the other is told who did and at which revision, and gets the record.
TEST(State, EqualRevisionsHaveOneWinner)
{
  Replica replica;
  const auto first = replica.Submit(0, "a", "asha");
  ASSERT_EQ(first.code(), kOk);
  const uint64_t revision = first.record().revision();
  EXPECT_EQ(replica.Submit(revision, "b", "asha").code(), kOk);
  const auto lost = replica.Submit(revision, "c", "rhys");
  EXPECT_EQ(lost.code(), kConflict);
  EXPECT_EQ(lost.record().revision(), 2U);
  EXPECT_NE(lost.message().find("revision 2 since a change by 'asha'"),
            std::string::npos)
    << lost.message();
}

// An operator's answer is lost and the command is sent again, after another
// change and after the leader restarted from a snapshot. It must not be applied
// twice nor turn into a conflict: the resend gets the first answer.
TEST(State, AResendGetsTheFirstAnswer)
{
  Replica replica;
  const auto first = replica.Submit(0, "a", "asha");
  replica.Submit(first.record().revision(), "b", "rhys");
  State restored;
  ASSERT_TRUE(restored.Restore(replica.state.Snapshot()));
  const auto again = restored.Apply(LogIndex{ 3 }, replica.log.front()).reply;
  EXPECT_EQ(again.SerializeAsString(), first.SerializeAsString());
  EXPECT_EQ(restored.Records().Find("service", "board")->newest.revision(), 2U);
}

// During a rollout a newer form is submitted over an older one. Hosts that do
// not understand it show it and keep the older one in force.
TEST(State, ANewerFormLeavesTheOlderInForce)
{
  Replica replica;
  replica.Submit(0, "a", "asha", R"({"slots": 4, "prefix": "/b"})");
  replica.Submit(1, "b", "asha", R"({"regions": {}})", 2);
  EXPECT_EQ(replica.state.ServiceInForce("board")->prefix, "/b");
  const auto table = replica.state.UpdateSince({});
  ASSERT_EQ(table.records_size(), 2);
  EXPECT_EQ(table.records(0).schema_version(), 1U);
  EXPECT_EQ(table.records(1).body_json(), R"({"regions": {}})");
}

TEST(State, SlotsAreFixedAndPrefixesUnique)
{
  Replica replica;
  replica.Submit(0, "a", "asha");
  const auto changed = replica.Submit(1, "b", "asha", R"({"slots": 8})");
  EXPECT_EQ(changed.code(), static_cast<uint32_t>(Code::InvalidRecord));
  EXPECT_NE(changed.message().find("fixed"), std::string::npos);
}

// A grant was decided on, but before it is committed its target dies, restarts
// under a new incarnation, or the slot is granted to another. Applied late, it
// must do nothing, or the slot would belong to a process that is gone.
TEST(State, LateGrantsHaveNoEffect)
{
  Replica replica;
  replica.Submit(0, "a", "asha");
  replica.Register("u1", 11);
  replica.Register("u2", 21);
  replica.Grant(0, "u1", 11);
  EXPECT_EQ(replica.OwnerOf(0), "u1");
  replica.Grant(0, "u2", 21);
  EXPECT_EQ(replica.OwnerOf(0), "u1") << "it was not released";
  replica.Register("u2", 22);
  replica.Grant(1, "u2", 21);
  EXPECT_EQ(replica.OwnerOf(1), "") << "of an older incarnation";
  replica.Lose("u2");
  replica.Grant(1, "u2", 22);
  EXPECT_EQ(replica.OwnerOf(1), "") << "lost";
}

// An upstream restarts at once: its new life announces itself while the old
// one's lease may live, and the old one may yet thaw and announce again. The
// slots are released, remember the life to wait for, and the old life is
// refused for good.
TEST(State, ANewIncarnationReleasesAndTheOldOneIsRefused)
{
  Replica replica;
  replica.Submit(0, "a", "asha");
  replica.Register("u1", 11);
  replica.Grant(0, "u1", 11);
  const uint64_t granted = replica.SlotAt(0).fence;
  replica.Register("u1", 12);
  EXPECT_EQ(replica.OwnerOf(0), "");
  EXPECT_EQ(replica.SlotAt(0).previousIncarnation, 11U);
  EXPECT_GT(replica.SlotAt(0).fence, granted);
  replica.Register("u1", 11);
  EXPECT_EQ(replica.Service().Find("u1")->view.incarnation(), 12U);
}

// A host was away for hundreds of changes. It is sent what differs now, each
// item once, and not the world.
TEST(State, UpdatesCarryOnlyChanges)
{
  Replica replica;
  replica.Submit(0, "a", "asha", R"({"slots": 1000})");
  replica.Register("u1", 11);
  replica.Register("u2", 21);
  for (uint32_t slot = 0; slot < 1000; ++slot) {
    replica.Grant(slot, "u1", 11);
  }
  const TableVersion before = replica.state.Version();
  for (uint64_t round = 0; round < 300; ++round) {
    replica.Register("u2", 100 + round);
  }
  replica.Lose("u2");
  const auto update = replica.state.UpdateSince(before);
  EXPECT_EQ(update.from_version(), before.value);
  EXPECT_EQ(update.upstreams_size(), 1);
  EXPECT_EQ(update.owners_size(), 0);
  EXPECT_EQ(replica.state.UpdateSince({}).owners_size(), 1000);
  EXPECT_EQ(replica.state.UpdateSince({ replica.index + 1 }).from_version(), 0U)
    << "a version of another history gets the whole table";
}

// Two control hosts, one of which restarted from a snapshot half way, must
// answer and send the same.
TEST(State, ASnapshotIsTheState)
{
  Replica replica;
  replica.Submit(0, "a", "asha");
  replica.Register("u1", 11);
  replica.Grant(2, "u1", 11);
  State restored;
  ASSERT_TRUE(restored.Restore(replica.state.Snapshot()));
  EXPECT_EQ(restored.Snapshot(), replica.state.Snapshot());
  const size_t applied = replica.log.size();
  replica.Register("u2", 21);
  replica.Grant(3, "u2", 21);
  replica.Lose("u1");
  for (size_t at = applied; at < replica.log.size(); ++at) {
    restored.Apply(LogIndex{ at + 1 }, replica.log[at]);
  }
  EXPECT_EQ(restored.Snapshot(), replica.state.Snapshot());
  EXPECT_EQ(restored.UpdateSince({ 3 }).SerializeAsString(),
            replica.state.UpdateSince({ 3 }).SerializeAsString());
  EXPECT_FALSE(restored.Restore("\x01not a snapshot"));
}

// A request crashes the upstream that runs it. Its callers' hosts report what
// was in flight there; when the upstream is declared lost, the suspects come
// into the table with that same version, before anyone can own its keys anew.
// The request's second crash, on a trial, bans it, and the rest is free.
TEST(State, SuspectsAreKnownWithTheLoss)
{
  Replica replica;
  replica.Submit(0, "a", "asha");
  const auto crash = [&](uint64_t aIncarnation, const std::string& aTrial) {
    replica.Register("u1", aIncarnation);
    wire::Command command;
    wire::CrashReportCall& call = *command.mutable_crash_report();
    call.set_service("board");
    call.set_upstream("u1");
    call.set_incarnation(aIncarnation);
    call.add_fingerprints("bad");
    if (aTrial.empty()) {
      call.add_fingerprints("good");
    }
    call.set_on_trial(aTrial);
    replica.Apply(command);
    replica.Lose("u1");
  };
  crash(11, "");
  const uint64_t lost = replica.Service().Find("u1")->changed;
  const auto& bans = replica.state.Bans().All();
  ASSERT_EQ(bans.size(), 2U);
  EXPECT_TRUE(bans.at({ "board", "bad" }).ban.suspect());
  EXPECT_EQ(bans.at({ "board", "bad" }).changed, lost);
  State restored;
  ASSERT_TRUE(restored.Restore(replica.state.Snapshot()));
  crash(12, "bad");
  EXPECT_FALSE(bans.at({ "board", "bad" }).ban.suspect());
  EXPECT_FALSE(bans.at({ "board", "bad" }).ban.lifted());
  EXPECT_TRUE(bans.at({ "board", "good" }).ban.lifted());
  for (uint64_t at = 5; at <= replica.index; ++at) {
    restored.Apply(LogIndex{ at }, replica.log[at - 1]);
  }
  EXPECT_EQ(restored.Snapshot(), replica.state.Snapshot());
}

} // namespace
} // namespace rattandyke::control

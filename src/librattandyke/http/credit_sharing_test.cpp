#include <deque>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include "http/credit_home.h"
#include "http/slot_queues.h"

namespace rattandyke::http {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr uint32_t kSlots = 2;
constexpr size_t kEntries = 4;
constexpr size_t kRequestsEach = 8;
constexpr std::string_view kHome = "home";

/// Stands still a day ahead, so that no timer set by it fires, until it is let
/// go to the true time.
class StillClock final : public Clock
{
public:
  Instant Now() const override
  {
    return mGoes ? std::chrono::steady_clock::now() : mStill;
  }
  WallTime Wall() const override { return {}; }
  void Go(bool aGoes) { mGoes = aGoes; }
  void Advance(Duration aTime) { mStill += aTime; }

private:
  Instant mStill = std::chrono::steady_clock::now() + 24h;
  bool mGoes = false;
};

std::shared_ptr<const routing::RoutingTable>
TableWith(std::string_view aHome)
{
  wire::TableUpdate update;
  update.set_to_version(1);
  auto& record = *update.add_records();
  record.set_kind("service");
  record.set_name("board");
  record.set_schema_version(1);
  record.set_body_json(R"({"prefix": "/board", "key": "path:2", "slots": 8})");
  auto& upstream = *update.add_upstreams();
  upstream.set_name("board-1");
  upstream.set_service("board");
  upstream.set_incarnation(7);
  upstream.set_address("127.0.0.1:9");
  upstream.set_slots(kSlots);
  upstream.set_state(wire::UPSTREAM_STATE_ACTIVE);
  upstream.set_home(std::string(aHome));
  return routing::RoutingTable().Apply(update);
}

/// Homes and entries on one thread, and the messages between them.
class Deployment
{
public:
  Deployment(const Clock& aClock,
             std::string_view aHome,
             size_t aEntries = kEntries);
  ~Deployment();

  /// Offers requests at one entry.
  void Offer(size_t aEntry, size_t aRequests);
  /// Ends the request that was admitted first of those that run.
  /// @param aRateLimit requests per second that its response names.
  void FinishOne(std::optional<double> aRateLimit = {});
  void RunUntilIdle() { mContext.poll(); }
  void RunOne() { mContext.run_one(); }
  /// Runs until so many requests were admitted since the start.
  void RunUntilAdmitted(size_t aRequests);
  void MoveHome(std::string_view aHome) { mTable = TableWith(aHome); }
  /// Runs until the homes have taken note of the list.
  void SetLive(std::vector<HostName> aLive);

  size_t Admitted() const { return mAdmitted; }
  size_t Running() const { return mRunning.size(); }
  size_t Refused() const { return mRefused; }
  size_t MostAtOnce() const { return mMostAtOnce; }
  size_t GrantsBy(std::string_view aHome) { return mGrants[Name(aHome)]; }

  /// Whether a message gets lost.
  std::function<bool(const wire::Envelope&, const HostName&)> loses;
  bool repeats = false;

private:
  class Host;
  struct Entry
  {
    std::unique_ptr<Host> host;
    std::unique_ptr<SlotQueues> queues;
  };

  static HostName Name(std::string_view aName)
  {
    return HostName{ std::string(aName) };
  }
  void Carry(const HostName& aTo, const wire::Envelope& aEnvelope);
  void Deliver(const HostName& aTo, const wire::Envelope& aEnvelope);
  void TakeAnswer(const std::shared_ptr<SlotPlace>& aPlace,
                  const SlotAnswer& aAnswer);

  const Clock& mClock;
  asio::io_context mContext;
  std::shared_ptr<const routing::RoutingTable> mTable;
  std::vector<HostName> mLive;
  size_t mLiveAsked = 0;
  std::map<HostName, std::unique_ptr<CreditHome>> mHomes;
  std::map<HostName, Entry> mEntries;
  std::map<HostName, size_t> mGrants;
  std::deque<std::shared_ptr<SlotPlace>> mRunning;
  size_t mAdmitted = 0;
  size_t mRefused = 0;
  size_t mMostAtOnce = 0;
};

class Deployment::Host final : public EntryHost
{
public:
  Host(Deployment& aAll, HostName aName)
    : mAll(aAll)
    , mName(std::move(aName))
  {
  }

  std::shared_ptr<const routing::RoutingTable> Table() const override
  {
    return mAll.mTable;
  }
  bool TableLeaseValid(Instant) const override { return true; }
  agent::InFlightVersions& InFlight() override { return mInFlight; }
  void ReportEvidence(const agent::Evidence&) override {}
  void CountRequest(std::string_view, Slot, std::string_view) override {}
  void Call(wire::CallRequest, Duration, agent::LeaderCalls::Callback) override
  {
  }
  void Send(const HostName& aTo, wire::Envelope aEnvelope) override
  {
    aEnvelope.set_from(mName.value);
    aEnvelope.set_from_session(1);
    mAll.Carry(aTo, aEnvelope);
  }

  metrics::Recorder& Metrics() override { return mMetrics; }

private:
  Deployment& mAll;
  const HostName mName;
  agent::InFlightVersions mInFlight;
  metrics::Recorder mMetrics;
};

Deployment::Deployment(const Clock& aClock,
                       std::string_view aHome,
                       size_t aEntries)
  : mClock(aClock)
  , mTable(TableWith(aHome))
{
  for (const std::string_view name : { kHome, std::string_view("other") }) {
    auto send = [this, name](const HostName& aTo, wire::Envelope aEnvelope) {
      aEnvelope.set_from(std::string(name));
      Carry(aTo, aEnvelope);
    };
    mHomes[Name(name)] = std::make_unique<CreditHome>(
      mContext.get_executor(),
      Name(name),
      CreditHome::Sources{ [this] { return mTable; },
                           [this] {
                             ++mLiveAsked;
                             return mLive;
                           },
                           send },
      mClock);
    mHomes[Name(name)]->Start();
  }
  for (size_t entry = 0; entry < aEntries; ++entry) {
    const HostName name{ std::to_string(entry) };
    Entry& made = mEntries[name];
    made.host = std::make_unique<Host>(*this, name);
    made.queues =
      std::make_unique<SlotQueues>(mContext.get_executor(), mClock, *made.host);
  }
}

Deployment::~Deployment()
{
  for (auto& [name, home] : mHomes) {
    home->Stop();
  }
  mContext.poll();
}

void
Deployment::Offer(size_t aEntry, size_t aRequests)
{
  const auto& upstream = *mTable->FindUpstream("board", "board-1");
  const auto& record = *mTable->FindServiceByName("board");
  Entry& entry = mEntries.at(HostName{ std::to_string(aEntry) });
  for (size_t request = 0; request < aRequests; ++request) {
    const Instant now = mClock.Now();
    auto place = std::make_shared<std::shared_ptr<SlotPlace>>();
    auto offered =
      entry.queues->Offer(upstream,
                          kSlots,
                          record,
                          { { "one" }, {}, now + 1h, now + 2h, false },
                          [this, place](const SlotAnswer& aAnswer) {
                            TakeAnswer(*place, aAnswer);
                          });
    *place = offered.place;
    if (offered.answer) {
      TakeAnswer(*place, *offered.answer);
    }
  }
}

void
Deployment::TakeAnswer(const std::shared_ptr<SlotPlace>& aPlace,
                       const SlotAnswer& aAnswer)
{
  if (std::holds_alternative<admission::Refuse>(aAnswer)) {
    ++mRefused;
    return;
  }
  ++mAdmitted;
  mRunning.push_back(aPlace);
  mMostAtOnce = std::max(mMostAtOnce, mRunning.size());
}

void
Deployment::SetLive(std::vector<HostName> aLive)
{
  mLive = std::move(aLive);
  const size_t asked = mLiveAsked;
  while (mLiveAsked < asked + mHomes.size()) {
    mContext.run_one();
  }
}

void
Deployment::FinishOne(std::optional<double> aRateLimit)
{
  const auto place = mRunning.front();
  mRunning.pop_front();
  place->RecordRateLimit(aRateLimit);
  place->Finish(admission::Ending::Succeeded, 1ms, {});
}

void
Deployment::RunUntilAdmitted(size_t aRequests)
{
  while (mAdmitted < aRequests) {
    mContext.run_one();
  }
}

void
Deployment::Carry(const HostName& aTo, const wire::Envelope& aEnvelope)
{
  if (loses && loses(aEnvelope, aTo)) {
    return;
  }
  if (aEnvelope.has_credit_answer() &&
      aEnvelope.credit_answer().state() == wire::CREDIT_STATE_GRANTED) {
    ++mGrants[HostName{ aEnvelope.from() }];
  }
  for (int copy = 0; copy < (repeats ? 2 : 1); ++copy) {
    asio::post(mContext, [this, aTo, aEnvelope] { Deliver(aTo, aEnvelope); });
  }
}

void
Deployment::Deliver(const HostName& aTo, const wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_credit_request()) {
    mHomes.at(aTo)->Handle(aEnvelope);
    return;
  }
  mEntries.at(aTo).queues->Handle(HostName{ aEnvelope.from() },
                                  aEnvelope.credit_answer());
}

/// @return the most requests that the upstream had at once.
size_t
MostAtOnce(std::string_view aHome, bool aRepeats)
{
  const StillClock clock;
  Deployment deployment(clock, aHome);
  deployment.repeats = aRepeats;
  for (size_t entry = 0; entry < kEntries; ++entry) {
    deployment.Offer(entry, kRequestsEach);
  }
  deployment.RunUntilIdle();
  while (deployment.Running() > 0) {
    deployment.FinishOne();
    deployment.RunUntilIdle();
  }
  EXPECT_EQ(deployment.Admitted(), kEntries * kRequestsEach);
  EXPECT_EQ(deployment.Refused(), 0u);
  return deployment.MostAtOnce();
}

// Callers of four entries send to one upstream of two slots. By limits of the
// entries it gets eight requests at once; by credits from its home never more
// than two, also when every message arrives twice. Each request is admitted
// once, so every slot came back each time.
TEST(CreditSharing, AnUpstreamGetsNoMoreThanItsSlots)
{
  EXPECT_EQ(MostAtOnce("", false), kEntries * kSlots);
  EXPECT_EQ(MostAtOnce(kHome, false), kSlots);
  EXPECT_EQ(MostAtOnce(kHome, true), kSlots);
}

// The home of an upstream stands still and comes back. Callers are served by
// the entry's own limit meanwhile, by the home's slots afterwards, and none of
// these is stranded.
TEST(CreditSharing, ASilentHomeStopsNoRequest)
{
  const SystemClock clock;
  Deployment deployment(clock, kHome);
  deployment.loses = [](const auto&, const HostName& aTo) {
    return aTo.value == kHome;
  };
  deployment.Offer(0, kRequestsEach);
  for (size_t done = 1; done <= kRequestsEach; ++done) {
    deployment.RunUntilAdmitted(done);
    deployment.FinishOne();
  }
  EXPECT_EQ(deployment.MostAtOnce(), 1u);
  EXPECT_EQ(deployment.GrantsBy(kHome), 0u);
  deployment.loses = nullptr;
  size_t sent = kRequestsEach;
  while (deployment.GrantsBy(kHome) < uint64_t{ 2 } * kSlots) {
    deployment.Offer(0, 1);
    deployment.RunUntilAdmitted(++sent);
    deployment.FinishOne();
  }
  EXPECT_EQ(deployment.Refused(), 0u);
}

// Messages that give slots back are lost. They are sent again until the home
// has heard of them: the next callers get the slots.
TEST(CreditSharing, AReturnIsRepeatedUntilHeard)
{
  StillClock clock;
  Deployment deployment(clock, kHome);
  deployment.Offer(0, kSlots);
  deployment.RunUntilIdle();
  ASSERT_EQ(deployment.Admitted(), kSlots);
  size_t lost = 0;
  size_t heard = 0;
  deployment.loses = [&](const wire::Envelope& aEnvelope, const HostName&) {
    heard += aEnvelope.credit_answer().state() == wire::CREDIT_STATE_RETURNED;
    const bool loses = aEnvelope.credit_request().has_give_back() &&
                       lost < uint64_t{ 2 } * kSlots;
    lost += loses ? 1 : 0;
    return loses;
  };
  clock.Go(true);
  while (deployment.Running() > 0) {
    deployment.FinishOne();
  }
  while (heard < kSlots) {
    deployment.RunOne();
  }
  clock.Go(false);
  deployment.Offer(1, kSlots);
  deployment.RunUntilIdle();
  EXPECT_EQ(lost, 2 * kSlots);
  EXPECT_EQ(deployment.Admitted(), 2 * kSlots);
}

// An upstream announces itself to another host. Once the table names the new
// home, requests that come from then on get their slots there.
TEST(CreditSharing, TheTableNamesTheHome)
{
  const StillClock clock;
  Deployment deployment(clock, kHome);
  deployment.Offer(0, 1);
  deployment.RunUntilIdle();
  deployment.MoveHome("other");
  deployment.Offer(0, 1);
  deployment.RunUntilIdle();
  EXPECT_EQ(deployment.GrantsBy(kHome), 1u);
  EXPECT_EQ(deployment.GrantsBy("other"), 1u);
  EXPECT_EQ(deployment.Admitted(), 2u);
}

// An entry dies with every slot. As soon as the leader takes it for lost, the
// others' callers get the slots.
TEST(CreditSharing, ALostEntryLeavesItsSlots)
{
  const StillClock clock;
  Deployment deployment(clock, kHome);
  deployment.SetLive({ HostName{ "0" }, HostName{ "1" } });
  deployment.Offer(0, kSlots);
  deployment.RunUntilIdle();
  deployment.Offer(1, kSlots);
  deployment.RunUntilIdle();
  EXPECT_EQ(deployment.Admitted(), kSlots);
  deployment.SetLive({ HostName{ "1" } });
  deployment.RunUntilAdmitted(size_t{ 2 } * kSlots);
  EXPECT_EQ(deployment.GrantsBy(kHome), 2 * kSlots);
}

/// @return the most requests that reached, in four seconds, an upstream that
/// names a limit, of a deployment with 30 requests per second.
/// @param aMoveHome the upstream gets another home each second.
size_t
MostWithRateLimit(size_t aEntries, double aLimit, bool aMoveHome)
{
  constexpr auto kStep = 33ms;
  constexpr int kSteps = 700;
  constexpr int kSettlingSteps = 90;
  constexpr int kStepsPerHome = 30;
  StillClock clock;
  Deployment deployment(clock, kHome, aEntries);
  std::deque<Instant> recent;
  size_t most = 0;
  for (int step = 0; step < kSteps; ++step, clock.Advance(kStep)) {
    if (aMoveHome && step % kStepsPerHome == 0) {
      deployment.MoveHome(step / kStepsPerHome % 2 == 0 ? kHome : "other");
    }
    const size_t before = deployment.Admitted();
    deployment.Offer(static_cast<size_t>(step) * 7919 % aEntries, 1);
    deployment.RunUntilIdle();
    for (size_t at = before; at < deployment.Admitted(); ++at) {
      recent.push_back(clock.Now());
    }
    while (!recent.empty() && clock.Now() - recent.front() >= 4s) {
      recent.pop_front();
    }
    if (step >= kSettlingSteps * 2) {
      most = std::max(most, recent.size());
    }
    if (deployment.Running() > 0) {
      deployment.FinishOne(aLimit);
      deployment.RunUntilIdle();
    }
  }
  return most;
}

// Entries that each keep an upstream's rate limit by themselves, or homes that
// follow one another and know nothing of it, exceed it together.
TEST(CreditSharing, EntriesTogetherKeepTheRateLimitOfAnUpstream)
{
  for (const size_t entries : { 10, 1000 }) {
    for (const bool moveHome : { false, true }) {
      EXPECT_LE(MostWithRateLimit(entries, 0, moveHome), 5u) << entries;
      EXPECT_LE(MostWithRateLimit(entries, 1, moveHome), 11u) << entries;
      EXPECT_LE(MostWithRateLimit(entries, 2.5, moveHome), 20u) << entries;
    }
  }
}

} // namespace
} // namespace rattandyke::http

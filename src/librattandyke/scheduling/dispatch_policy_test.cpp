#include "scheduling/dispatch_policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>

#include <gtest/gtest.h>

namespace rattandyke::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kEntries = 73;
constexpr size_t kOwners = 183;
/// Requests per second that an owner can run with 3 slots and 210 ms.
constexpr double kCapacity = 3 / 0.21;
constexpr double kRate = 1144;
/// Time constant of the demand in the digest.
constexpr double kDemandSeconds = 0.5;
/// Requests that an owner can hold: 3 slots and a queue of 12.
constexpr size_t kRoom = 15;
const Instant kStart{ seconds{ 100 } };
/// Delay from a host to a caller and back, with the caller's connection.
constexpr milliseconds kTransit{ 32 };
constexpr seconds kStated{ 5 };
const std::string kHotOwner = "owner-0";

/// Policies of all entry hosts, in virtual time. The digest of the leader
/// counts the requests for the hot owner without delay, and lists no other
/// owner.
class Fleet
{
public:
  explicit Fleet(double aHotShare = 0, uint64_t aSeed = 0)
    : hotShare(aHotShare)
    , mRandom(aSeed)
  {
    for (size_t at = 0; at < kEntries; ++at) {
      mPolicies.emplace_back(mDemand, aSeed * kEntries + at);
    }
    SendDigest();
  }

  /// Runs for some time with new requests.
  void Run(Duration aTime, double aRate = kRate)
  {
    for (const Instant end = mNow + aTime; mNow < end;
         mNow += milliseconds{ 1 }) {
      mHotRequests *= std::exp(-0.001 / kDemandSeconds);
      const int arrivals = std::poisson_distribution<int>(aRate / 1e3)(mRandom);
      for (int at = 0; at < arrivals; ++at) {
        const bool hot = std::uniform_real_distribution<>()(mRandom) < hotShare;
        Arrive({ hot ? kHotOwner : AnyOwner(), AnyPriority(), kStated, 0, {} });
      }
      while (!mReturning.empty() && mReturning.begin()->first <= mNow) {
        const Caller caller = mReturning.begin()->second;
        mReturning.erase(mReturning.begin());
        Arrive(caller);
      }
      if (digests && (mNow - kStart) % milliseconds{ 200 } == Duration{}) {
        SendDigest();
      }
    }
  }

  /// Counts of decisions.
  struct Counts
  {
    double direct = 0;
    double ask = 0;
    double refused = 0;
    double Sum() const { return direct + ask + refused; }
  };

  /// Clears the counts.
  void Reset()
  {
    hot = {};
    others = {};
    bookedReturns = bookedRefusedAgain = otherReturns = otherRefusedAgain = 0;
    admitted.clear();
  }

  /// Part of the requests that is for the hot owner.
  double hotShare;
  /// Whether hosts get digests.
  bool digests = true;
  Counts hot;
  Counts others;
  double bookedReturns = 0;
  double bookedRefusedAgain = 0;
  double otherReturns = 0;
  double otherRefusedAgain = 0;
  /// Admissions of the hot owner by priority.
  std::map<uint32_t, std::vector<Instant>> admitted;

private:
  struct Caller
  {
    std::string owner;
    uint32_t priority = 0;
    Duration left{};
    int attempt = 0;
    std::optional<bool> booked;
  };

  std::string AnyOwner()
  {
    return "owner-" + std::to_string(mRandom() % kOwners);
  }

  /// A tenth of the requests is of the least urgent kind.
  uint32_t AnyPriority()
  {
    const uint64_t any = mRandom() % 10;
    return any < 5 ? 0 : any < 9 ? 1 : 2;
  }

  void SendDigest()
  {
    DemandDigest digest{ 1, ++mSequence, {}, {}, {} };
    const double demand = mHotRequests / kDemandSeconds;
    if (demand >= kCapacity / 2) {
      digest.owners.push_back({ kHotOwner, demand, kCapacity });
    }
    mDemand.Apply(digest, mNow);
  }

  void Arrive(const Caller& aCaller)
  {
    if (aCaller.owner == kHotOwner) {
      mHotRequests += 1;
    }
    DemandDispatch& policy = mPolicies[mRandom() % kEntries];
    Counts& counts = aCaller.owner == kHotOwner ? hot : others;
    const auto decision = policy.Decide({ "desk",
                                          aCaller.owner,
                                          true,
                                          true,
                                          aCaller.priority,
                                          aCaller.left,
                                          aCaller.left },
                                        mNow);
    const bool again = aCaller.booked.has_value();
    const bool booked = aCaller.booked.value_or(false);
    (booked ? bookedReturns : otherReturns) += again ? 1 : 0;
    if (const auto* refusal = std::get_if<RefuseAtOnce>(&decision)) {
      ++counts.refused;
      (booked ? bookedRefusedAgain : otherRefusedAgain) += again ? 1 : 0;
      Return(aCaller, refusal->callerReturn);
      return;
    }
    (std::holds_alternative<SendDirect>(decision) ? counts.direct
                                                  : counts.ask) += 1;
    if (aCaller.owner == kHotOwner) {
      admitted[aCaller.priority].push_back(mNow);
    }
  }

  void Return(const Caller& aCaller, const ReturnSchedule::Return& aReturn)
  {
    const Duration pause = aReturn.after + Duration(kTransit);
    if (aCaller.attempt < 2 && pause < aCaller.left) {
      mReturning.emplace(mNow + pause,
                         Caller{ aCaller.owner,
                                 aCaller.priority,
                                 aCaller.left - pause,
                                 aCaller.attempt + 1,
                                 aReturn.booked });
    }
  }

  Instant mNow = kStart;
  DemandView mDemand;
  uint64_t mSequence = 0;
  /// Requests for the hot owner, as an exponentially decayed sum.
  double mHotRequests = 0;
  std::mt19937_64 mRandom;
  std::deque<DemandDispatch> mPolicies;
  std::multimap<Instant, Caller> mReturning;
};

// Load: 1,144 requests per second, evenly spread over 183 owners, at 73 entry
// hosts. Guards against messages for upstreams that have room.
TEST(DispatchLoad, SendsAnEvenLoadDirectly)
{
  Fleet fleet;
  fleet.Run(seconds{ 10 });
  EXPECT_GT(fleet.others.direct, 0.96 * fleet.others.Sum());
  EXPECT_EQ(fleet.others.refused, 0);
}

// Load: the same, but 43% of the requests are for one key. Guards against an
// overload of its owner, and against messages of the other requests.
TEST(DispatchLoad, SharesOutAHotKeyAndSendsTheRestDirectly)
{
  Fleet fleet(0.43);
  fleet.Run(seconds{ 2 });
  EXPECT_GT(fleet.others.direct, 0.96 * fleet.others.Sum());
  fleet.Reset();
  fleet.Run(seconds{ 30 });
  EXPECT_GT(fleet.others.direct, 0.96 * fleet.others.Sum());
  EXPECT_EQ(fleet.hot.direct, 0);
  const double perSecond = fleet.hot.ask / 30;
  RecordProperty("admittedPerSecond", std::to_string(perSecond));
  EXPECT_GT(perSecond, 0.75 * kCapacity);
  EXPECT_LT(perSecond, 1.05 * kCapacity);
  // Callers that return as booked are admitted. The bookings are bound by the
  // owner's capacity: most callers return without one, after a third of their
  // time, and nearly all of those are refused again.
  RecordProperty("bookedReturns", std::to_string(fleet.bookedReturns));
  EXPECT_GT(fleet.bookedReturns, 100);
  EXPECT_LT(fleet.bookedRefusedAgain, 0.01 * fleet.bookedReturns);
  EXPECT_GT(fleet.otherRefusedAgain, 0.9 * fleet.otherReturns);
  // A kind gets its part of the admissions also if a host admits one request
  // for the owner in several seconds.
  const double leastUrgent = static_cast<double>(fleet.admitted[2].size());
  EXPECT_GT(leastUrgent, 0.05 * fleet.hot.ask);
}

// Load: a burst of twice to four times an owner's capacity for 1.5 s. Callers
// have 5 s. Guards against refusals of callers that return at their time.
TEST(DispatchLoad, AdmitsCallersThatReturnAsBooked)
{
  double returns = 0;
  double refused = 0;
  for (const double load : { 1.5, 2.0, 4.0 }) {
    for (uint64_t seed = 0; seed < 20; ++seed) {
      Fleet fleet(0, seed);
      fleet.Run(seconds{ 2 });
      fleet.hotShare = load * kCapacity / kRate;
      fleet.Run(milliseconds{ 1500 });
      fleet.Run(seconds{ 3 }, 0);
      returns += fleet.bookedReturns;
      refused += fleet.bookedRefusedAgain;
    }
  }
  RecordProperty("returns", std::to_string(returns));
  EXPECT_GT(returns, 200);
  EXPECT_LE(refused, 0.01 * returns);
}

// Load: 300 requests per second for one owner appear at 73 entry hosts; the
// digest lists the owner after 260 ms, or not within 500 ms. No host sends it
// two direct requests in 300 ms, but each may send one. The owner has room for
// 15 and runs 7 meanwhile; the remaining excess is about 40 requests if it is
// listed, and about 50 if not. It refuses them with proof, and they are sent
// again within the retry budget; a service that does not refuse with proof gets
// only idempotent requests directly.
TEST(DispatchLoad, BoundsTheDirectRequestsOfASuddenHotKey)
{
  constexpr int kRuns = 20;
  for (const bool listed : { true, false }) {
    double excess = 0;
    for (uint64_t seed = 0; seed < kRuns; ++seed) {
      Fleet fleet(300 / (300 + kRate), seed);
      fleet.digests = false;
      fleet.Run(milliseconds{ 260 }, 300 + kRate);
      EXPECT_LE(fleet.hot.direct, kEntries);
      fleet.digests = listed;
      fleet.Run(milliseconds{ 240 }, 300 + kRate);
      EXPECT_LE(fleet.hot.direct, 1.25 * kEntries);
      excess += (fleet.hot.direct - kRoom - 0.5 * kCapacity) / kRuns;
    }
    RecordProperty(listed ? "excess" : "excessUnlisted",
                   std::to_string(excess));
    EXPECT_LE(excess, listed ? 45 : 55);
  }
}

/// One policy with a digest.
class DispatchTest : public ::testing::Test
{
protected:
  void Apply(std::vector<OwnerDemand> aOwners,
             std::vector<ServiceDemand> aServices = {})
  {
    demand.Apply(
      { 1, ++sequence, {}, std::move(aOwners), std::move(aServices) }, now);
  }

  DispatchDecision Decide(const DispatchRequest& aRequest)
  {
    return policy.Decide(aRequest, now);
  }

  static DispatchRequest ForOwner(std::string_view aOwner)
  {
    return { "desk", aOwner, true, true, 0, seconds{ 5 }, seconds{ 5 } };
  }

  static DispatchRequest ForService()
  {
    return { "search", {}, true, true, 0, seconds{ 5 }, seconds{ 5 } };
  }

  static std::string Text(const DispatchDecision& aDecision)
  {
    if (const auto* ask = std::get_if<AskAllocator>(&aDecision)) {
      return std::string(NameOf(ask->reason));
    }
    return std::holds_alternative<SendDirect>(aDecision) ? "direct" : "refuse";
  }

  Instant now = kStart;
  uint64_t sequence = 0;
  DemandView demand;
  DemandDispatch policy{ demand, 7 };
};

// Load: a service without keys at 0.43, 0.7 and 1.2 of its capacity.
TEST_F(DispatchTest, AsksForAServiceFromSixTenthsOfItsCapacity)
{
  Apply({}, { { "search", 0.43, 0 } });
  EXPECT_EQ(Text(Decide(ForService())), "direct");
  Apply({}, { { "search", 0.43, 0.02 } });
  EXPECT_EQ(Text(Decide(ForService())), "high_demand");
  for (const double load : { 0.6, 0.7, 1.2 }) {
    Apply({}, { { "search", load, 0 } });
    EXPECT_EQ(Text(Decide(ForService())), "high_demand") << load;
  }
  Apply({});
  EXPECT_EQ(Text(Decide(ForService())), "unknown_service");
}

// Failure: the leader is killed, so there is no digest, or an old one.
TEST_F(DispatchTest, AsksWithoutAFreshDigest)
{
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "no_digest");
  EXPECT_EQ(Text(Decide(ForService())), "no_digest");
  Apply({ { "a", 100, 10 } }, { { "search", 0.1, 0 } });
  now += DemandView::kValidity;
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "no_digest");
  EXPECT_EQ(Text(Decide(ForService())), "no_digest");
}

// Failure: the digest lists an owner that has no keys any more. It must not
// affect the requests for the new owner.
TEST_F(DispatchTest, IgnoresAnOwnerWithoutKeys)
{
  Apply({ { "gone", 100, 10 } });
  EXPECT_EQ(Text(Decide(ForOwner("new"))), "direct");
}

// Load: more owners are busy than a digest lists. Guards against direct
// requests to those left out.
TEST_F(DispatchTest, AsksForUnlistedOwnersIfTheDigestIsTruncated)
{
  DemandDigest digest{ 1, 1, {}, { { "busy", 6, 10 } }, {}, true };
  digest.services.push_back({ "search", 0.1, 0 });
  demand.Apply(digest, now);
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "unknown_owner");
  EXPECT_EQ(Text(Decide(ForOwner("busy"))), "high_demand");
  EXPECT_EQ(Text(Decide(ForService())), "direct");
  digest.sequence = 2;
  digest.truncated = false;
  demand.Apply(digest, now);
  EXPECT_EQ(Text(Decide(ForOwner("b"))), "direct");
}

// Failure: a direct request is refused, or fails.
TEST_F(DispatchTest, AsksForTwoSecondsAfterAFailure)
{
  for (const auto result :
       { DispatchResult::Refused, DispatchResult::Failed }) {
    Apply({}, { { "search", 0.1, 0 } });
    policy.RecordResult("desk", "a", result, now);
    EXPECT_EQ(policy.RecentlyFailed(now), std::vector<std::string>{ "a" });
    now += milliseconds{ 1999 };
    Apply({});
    EXPECT_EQ(Text(Decide(ForOwner("a"))), "recent_failure");
    now += milliseconds{ 300 };
    policy.RemoveExpired(now);
    EXPECT_TRUE(policy.RecentlyFailed(now).empty());
    EXPECT_EQ(Text(Decide(ForOwner("a"))), "direct");
    now += milliseconds{ 300 };
  }
  policy.RecordResult("desk", "a", DispatchResult::Unknown, now);
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "direct");
}

// Guards against a request that an upstream may have run although it was full:
// it could not be sent again.
TEST_F(DispatchTest, SendsOnlyRepeatableRequestsToUnprovenServices)
{
  Apply({});
  DispatchRequest request = ForOwner("a");
  request.idempotent = false;
  EXPECT_EQ(Text(Decide(request)), "not_repeatable");
  policy.RecordResult("desk", "b", DispatchResult::Refused, now);
  request.owner = "c";
  EXPECT_EQ(Text(Decide(request)), "direct");
}

// Guards against requests that only the allocator of an upstream may count.
TEST_F(DispatchTest, AsksForRestrictedBusyAndRecentlyUsedOwners)
{
  Apply({ { "busy", 6, 10 } });
  EXPECT_EQ(Text(Decide(ForOwner("busy"))), "high_demand");
  DispatchRequest request = ForOwner("cold");
  request.ownerUnrestricted = false;
  EXPECT_EQ(Text(Decide(request)), "restricted");
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "direct");
  now += milliseconds{ 299 };
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "sent_recently");
  now += milliseconds{ 300 };
  EXPECT_EQ(Text(Decide(ForOwner("a"))), "direct");
}

// Guards against a refusal whose cause can't be found from its log line.
TEST_F(DispatchTest, ARefusalTellsWhatItDependsOn)
{
  DemandDigest digest{ 1, 1, milliseconds{ 40 }, { { "a", 100, 10 } }, {} };
  demand.Apply(digest, now);
  DispatchDecision decision = Decide(ForOwner("a"));
  while (!std::holds_alternative<RefuseAtOnce>(decision)) {
    decision = Decide(ForOwner("a"));
  }
  auto refusal = std::get<RefuseAtOnce>(decision);
  refusal.callerReturn = { milliseconds{ 150 }, true };
  EXPECT_EQ(refusal.Text(),
            "owner=a demand=100 capacity=10 share=0.095 digest_age_ms=40 "
            "retry_after_ms=150 booked=1");
}

// Load: an owner at its capacity, with one request at each of 1,000 hosts.
// Guards against refusals beyond the share: capacity that is set aside for
// returns is of no use if hardly any request is refused.
TEST_F(DispatchTest, AdmitsTheShareOfFirstRequests)
{
  Apply({ { "a", 10.001, 10 } });
  size_t admitted = 0;
  for (uint64_t host = 0; host < 1000; ++host) {
    DemandDispatch other(demand, host);
    const auto decision = other.Decide(ForOwner("a"), now);
    admitted += std::holds_alternative<AskAllocator>(decision) ? 1 : 0;
  }
  EXPECT_GE(admitted, 850U);
  EXPECT_LE(admitted, 980U);
}

// Load: 100 requests per second for one owner at one host, of which a fifth is
// admitted; one in twenty is of the least urgent kind. Guards against a kind
// that gets nothing for a second, and against an equal treatment of kinds.
TEST_F(DispatchTest, PrefersUrgentKindsAndShutsOutNone)
{
  std::map<uint32_t, Instant> last{ { 0, now }, { 1, now }, { 2, now } };
  std::map<uint32_t, double> asked;
  std::map<uint32_t, double> admitted;
  for (int at = 0; at < 2000; ++at) {
    now += milliseconds{ 10 };
    Apply({ { "a", 100, 100 * 0.2 / 0.95 } });
    DispatchRequest request = ForOwner("a");
    request.priority = at % 20 == 0 ? 2 : at % 2;
    asked[request.priority] += 1;
    if (Text(Decide(request)) == "admitted") {
      admitted[request.priority] += 1;
      EXPECT_LE(now - last[request.priority], seconds{ 1 });
      last[request.priority] = now;
    }
  }
  EXPECT_GT(admitted[0] / asked[0], 2 * admitted[1] / asked[1]);
  EXPECT_GT(admitted[2], 0);
}

TEST(CoordinatedDispatch, AsksForEachRequest)
{
  DispatchPolicy policy;
  const auto decision = std::visit(
    [](auto& aPolicy) {
      return aPolicy.Decide({ "desk", "a" }, kStart);
    },
    policy);
  ASSERT_TRUE(std::holds_alternative<AskAllocator>(decision));
  EXPECT_EQ(std::get<AskAllocator>(decision).reason,
            DispatchReason::Coordinated);
}

} // namespace
} // namespace rattandyke::scheduling

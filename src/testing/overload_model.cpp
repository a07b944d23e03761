#include "testing/overload_model.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "base/clock.h"
#include "entry/credit_broker.h"
#include "entry/credit_client.h"
#include "testing/virtual_time.h"

namespace rattandyke::testing {

namespace {

using namespace std::chrono_literals;
using admission::Admission;
using admission::Ticket;

constexpr Duration kLength = 60s;
constexpr std::chrono::microseconds kShortest = 5ms;
constexpr std::chrono::microseconds kLongest = 15ms;
constexpr double kMeanSeconds = 0.010;
const std::string kDominant = "dominant";

struct Request
{
  std::string customer;
  size_t entry = 0;
  Instant sent{};
  Instant deadline{};
  Instant started{};
};

class Model
{
public:
  explicit Model(const OverloadSettings& aSettings);
  OverloadResult Run();

private:
  struct Entry
  {
    std::unique_ptr<Admission> local;
    std::unique_ptr<entry::CreditClient> client;
    std::optional<Instant> tick;
  };

  double Milliseconds(Duration aDuration) const;
  std::unique_ptr<Admission> MakeAdmission(uint32_t aSlots) const;
  void Arrive(const std::string& aCustomer, double aRate);
  void Offer(uint64_t aNumber);
  void Step(size_t aEntry, const admission::Event& aEvent);
  void StepClient(size_t aEntry, const entry::CreditClientEvent& aEvent);
  void Do(size_t aEntry, const admission::Admit& aEffect);
  void Do(size_t aEntry, const admission::Refuse& aEffect);
  void Do(size_t aEntry, const entry::AskCredit& aEffect);
  void Do(size_t aEntry, const entry::ReturnCredit& aEffect);
  void ToHome(const entry::CreditEvent& aEvent);
  void StepHome(const entry::CreditEvent& aEvent);
  void Schedule(size_t aEntry);
  void ScheduleHome();
  void Send(uint64_t aNumber);
  void Start(uint64_t aNumber);
  void Answer(uint64_t aNumber, Duration aService);
  Duration ToEntry() const;

  const OverloadSettings mSettings;
  Random mRandom;
  VirtualTime mTime;
  Instant mEnd;
  std::vector<Entry> mEntries;
  std::unique_ptr<entry::CreditBroker> mBroker;
  std::vector<entry::CreditEvent> mHeldByHome;
  bool mHomePaused = false;
  std::optional<Instant> mHomeTick;
  std::map<uint64_t, Request> mRequests;
  uint64_t mNumber = 0;
  std::deque<uint64_t> mUpstreamQueue;
  size_t mAtUpstream = 0;
  uint32_t mServing = 0;
  OverloadResult mResult;
};

Model::Model(const OverloadSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mEnd(mTime.Now() + kLength)
{
  const bool home = mSettings.sharing == Sharing::HomeEntry;
  mEntries.resize(home ? 1 : mSettings.entries);
  for (Entry& entry : mEntries) {
    if (mSettings.sharing == Sharing::Credits) {
      entry.client = std::make_unique<entry::CreditClient>(
        entry::CreditClient::Settings{}, MakeAdmission(1));
      continue;
    }
    const bool one = mSettings.sharing == Sharing::LocalOne;
    const bool none = mSettings.sharing == Sharing::None;
    constexpr uint32_t kNoLimit = 1'000'000;
    entry.local = MakeAdmission(none ? kNoLimit : (one ? 1 : mSettings.slots));
  }
  mBroker =
    std::make_unique<entry::CreditBroker>(MakeAdmission(mSettings.slots));
}

double
Model::Milliseconds(Duration aDuration) const
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

std::unique_ptr<Admission>
Model::MakeAdmission(uint32_t aSlots) const
{
  admission::Settings settings;
  settings.slots = aSlots;
  settings.maxQueueTime = mSettings.maxQueueTime;
  return std::move(*admission::AdmissionRegistry::Make("fair", settings));
}

OverloadResult
Model::Run()
{
  const double capacity = mSettings.slots / kMeanSeconds;
  for (uint32_t i = 0; i < mSettings.smallCustomers; ++i) {
    Arrive("small-" + std::to_string(i),
           capacity * mSettings.smallLoad / mSettings.smallCustomers);
  }
  if (mSettings.dominantLoad > 0) {
    Arrive(kDominant, capacity * mSettings.dominantLoad);
  }
  if (mSettings.homePause > Duration{}) {
    mTime.After(kLength / 2, [this] { mHomePaused = true; });
    mTime.After(kLength / 2 + mSettings.homePause, [this] {
      mHomePaused = false;
      for (const auto& event : std::exchange(mHeldByHome, {})) {
        StepHome(event);
      }
    });
  }
  mTime.RunUntil(mEnd + 5s);
  mResult.leaked = mBroker->Granted() + mRequests.size();
  const double seconds = std::chrono::duration<double>(kLength).count();
  mResult.goodput =
    static_cast<double>(mResult.answered) / (seconds * capacity);
  return mResult;
}

/// Poisson arrivals until the end.
void
Model::Arrive(const std::string& aCustomer, double aRate)
{
  std::exponential_distribution<double> gap(aRate);
  const auto delay = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(gap(mRandom)));
  if (mTime.Now() + delay > mEnd) {
    return;
  }
  mTime.After(delay, [=, this] {
    const bool dominant = aCustomer == kDominant;
    const uint64_t number = ++mNumber;
    const size_t among = dominant ? mSettings.entries : mSettings.busyEntries;
    const size_t entry = mRandom() % among % mEntries.size();
    mRequests[number] = {
      aCustomer, entry, mTime.Now(), mTime.Now() + mSettings.deadline
    };
    ++mResult.sent;
    mResult.smallSent += dominant ? 0 : 1;
    mTime.After(ToEntry(), [=, this] { Offer(number); });
    Arrive(aCustomer, aRate);
  });
}

/// With a home entry, nine in ten requests take one more hop.
Duration
Model::ToEntry() const
{
  return mSettings.sharing == Sharing::HomeEntry ? mSettings.oneWay
                                                 : Duration{};
}

void
Model::Offer(uint64_t aNumber)
{
  const Request& request = mRequests.at(aNumber);
  const admission::Offer offer{ { aNumber },
                                { request.customer },
                                {},
                                mTime.Now() + mSettings.maxQueueTime,
                                request.deadline,
                                false };
  if (mEntries[request.entry].client) {
    return StepClient(request.entry, offer);
  }
  Step(request.entry, offer);
}

void
Model::Step(size_t aEntry, const admission::Event& aEvent)
{
  for (const auto& effect : mEntries[aEntry].local->Step(aEvent, mTime.Now())) {
    std::visit([&](const auto& aOne) { Do(aEntry, aOne); }, effect);
  }
  Schedule(aEntry);
}

void
Model::StepClient(size_t aEntry, const entry::CreditClientEvent& aEvent)
{
  for (const auto& effect :
       mEntries[aEntry].client->Step(aEvent, mTime.Now())) {
    std::visit([&](const auto& aOne) { Do(aEntry, aOne); }, effect);
  }
  Schedule(aEntry);
}

/// Delivers the entry's next tick; an older one that was earlier stays.
void
Model::Schedule(size_t aEntry)
{
  Entry& entry = mEntries[aEntry];
  const auto next =
    entry.client ? entry.client->NextTick() : entry.local->NextTick();
  if (!next || (entry.tick && *entry.tick <= *next)) {
    return;
  }
  entry.tick = next;
  mTime.At(*next, [=, this, &entry] {
    if (entry.tick == next) {
      entry.tick.reset();
      return entry.client ? StepClient(aEntry, admission::Tick{})
                          : Step(aEntry, admission::Tick{});
    }
  });
}

void
Model::Do(size_t, const admission::Admit& aEffect)
{
  Send(aEffect.ticket.value);
}

void
Model::Do(size_t, const admission::Refuse& aEffect)
{
  const auto request = mRequests.find(aEffect.ticket.value);
  ++mResult.refused;
  mResult.refusalDelays.push_back(
    Milliseconds(mTime.Now() - request->second.sent));
  mRequests.erase(request);
}

void
Model::Do(size_t aEntry, const entry::AskCredit& aEffect)
{
  const auto& offer = aEffect.offer;
  ToHome(entry::credit_event::Asked{
    { { std::to_string(aEntry) }, 1, offer.ticket.value },
    offer.customer,
    offer.share,
    offer.admitBy - mTime.Now(),
    offer.deadline - mTime.Now(),
    offer.idempotent });
}

void
Model::Do(size_t aEntry, const entry::ReturnCredit& aEffect)
{
  ToHome(entry::credit_event::Returned{
    { { std::to_string(aEntry) }, 1, aEffect.ticket.value },
    aEffect.finished });
}

void
Model::ToHome(const entry::CreditEvent& aEvent)
{
  mTime.After(mSettings.oneWay, [=, this] {
    if (mHomePaused) {
      mHeldByHome.push_back(aEvent);
      return;
    }
    StepHome(aEvent);
  });
}

void
Model::StepHome(const entry::CreditEvent& aEvent)
{
  for (const entry::CreditAnswer& answer : mBroker->Step(aEvent, mTime.Now())) {
    mTime.After(mSettings.oneWay, [=, this] {
      StepClient(static_cast<size_t>(std::stoul(answer.key.host.value)),
                 entry::CreditAnswered{ { answer.key.request },
                                        answer.state,
                                        answer.code,
                                        answer.retryAfter });
    });
  }
  ScheduleHome();
}

void
Model::ScheduleHome()
{
  const auto next = mBroker->NextTick();
  if (!next || (mHomeTick && *mHomeTick <= *next)) {
    return;
  }
  mHomeTick = next;
  mTime.At(*next, [=, this] {
    if (mHomeTick == next) {
      mHomeTick.reset();
      ToHome(entry::credit_event::Tick{});
    }
  });
}

void
Model::Send(uint64_t aNumber)
{
  mRequests.at(aNumber).started = mTime.Now();
  mTime.After(mSettings.oneWay, [=, this] {
    mUpstreamQueue.push_back(aNumber);
    mResult.mostAtUpstream = std::max(mResult.mostAtUpstream, ++mAtUpstream);
    Start(aNumber);
  });
}

/// The upstream runs as many as it has slots; the others wait inside it.
void
Model::Start(uint64_t)
{
  if (mServing >= mSettings.slots || mUpstreamQueue.empty()) {
    return;
  }
  ++mServing;
  const uint64_t number = mUpstreamQueue.front();
  mUpstreamQueue.pop_front();
  std::uniform_int_distribution<int64_t> service(kShortest.count(),
                                                 kLongest.count());
  const std::chrono::microseconds takes(service(mRandom));
  mTime.After(takes, [=, this] {
    --mServing;
    --mAtUpstream;
    mTime.After(mSettings.oneWay, [=, this] { Answer(number, takes); });
    Start(0);
  });
}

void
Model::Answer(uint64_t aNumber, Duration)
{
  const Request request = mRequests.at(aNumber);
  mRequests.erase(aNumber);
  const Instant answered = mTime.Now() + ToEntry();
  if (answered <= request.deadline) {
    ++mResult.answered;
    if (request.customer != kDominant) {
      ++mResult.smallAnswered;
      mResult.smallLatencies.push_back(Milliseconds(answered - request.sent));
    }
  }
  const admission::Finished finished{ { aNumber },
                                      admission::Ending::Succeeded,
                                      mTime.Now() - request.started };
  if (mEntries[request.entry].client) {
    return StepClient(request.entry, finished);
  }
  Step(request.entry, finished);
}

} // namespace

OverloadResult
RunOverloadModel(const OverloadSettings& aSettings)
{
  return Model(aSettings).Run();
}

} // namespace rattandyke::testing

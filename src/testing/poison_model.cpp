#include "testing/poison_model.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

#include "base/clock.h"
#include "entry/crash_blame.h"
#include "entry/quarantine.h"
#include "entry/trial_desk.h"
#include "testing/virtual_time.h"

namespace rattandyke::testing {

namespace {

using namespace std::chrono_literals;
using entry::QuarantineVerdict;
using std::chrono::milliseconds;
namespace blame = entry::blame_event;
namespace trial = entry::trial_event;

const ServiceName kService{ "board" };
const std::string kPoison = "poison";
constexpr milliseconds kLength = 20s;
constexpr Duration kDeadline = 4s;

struct Request
{
  std::string fingerprint;
  uint32_t slot = 0;
  size_t entry = 0;
  uint64_t attempt = 0;
  Instant deadline{};
  bool onTrial = false;
  bool done = false;
};
using RequestPtr = std::shared_ptr<Request>;

struct Upstream
{
  bool alive = true;
  uint64_t incarnation = 1;
  std::vector<RequestPtr> running;
};

/// What the leader publishes; entries hold an older copy for a while.
struct Table
{
  uint64_t version = 0;
  std::map<std::string, wire::Ban> bans;
  struct Owner
  {
    size_t upstream = 0;
    /// An upstream that started anew refuses grants of its former life.
    uint64_t incarnation = 1;
  };
  /// By slot.
  std::vector<Owner> owners;
};

struct Entry
{
  entry::Quarantine quarantine;
  std::shared_ptr<const Table> table;
};

class Model
{
public:
  explicit Model(const PoisonModelSettings& aSettings);
  PoisonModelResult Run();

private:
  Duration Between(milliseconds aLeast, milliseconds aMost);
  entry::UpstreamLife LifeOf(size_t aUpstream) const;
  WallTime Wall() const;

  void SendInnocents();
  void Submit(std::string aFingerprint, uint32_t aSlot, size_t aEntry);
  void Try(const RequestPtr& aRequest);
  void TryLater(const RequestPtr& aRequest);
  void AskTrial(const RequestPtr& aRequest);
  void EndTrial(const RequestPtr& aRequest, bool aCleared);
  void RunAt(const RequestPtr& aRequest, size_t aUpstream);
  void Answer(const RequestPtr& aRequest, size_t aUpstream);
  void Crash(size_t aUpstream);
  void Report(const entry::UpstreamLife& aLife, const RequestPtr& aRequest);
  void OnLost(const entry::UpstreamLife& aLife, size_t aUpstream);
  size_t AnyAlive();
  void Judge(const entry::BlameEvent& aEvent);
  void Publish();

  const PoisonModelSettings mSettings;
  Random mRandom;
  VirtualTime mTime;
  entry::CrashBlame mBlame{ {} };
  entry::TrialDesk mDesk;
  Table mTable;
  std::vector<Entry> mEntries;
  std::vector<Upstream> mUpstreams;
  uint64_t mAttempts = 0;
  PoisonModelResult mResult;
};

Model::Model(const PoisonModelSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.seed)
  , mDesk({}, mTime.Now() - 1h)
  , mEntries(aSettings.entries)
  , mUpstreams(aSettings.upstreams)
{
  for (size_t slot = 0; slot < 4 * mUpstreams.size(); ++slot) {
    mTable.owners.push_back({ slot % mUpstreams.size() });
  }
  for (Entry& entry : mEntries) {
    entry.table = std::make_shared<Table>(mTable);
  }
}

Duration
Model::Between(milliseconds aLeast, milliseconds aMost)
{
  std::uniform_int_distribution<int64_t> delay(aLeast.count(), aMost.count());
  return milliseconds(delay(mRandom));
}

entry::UpstreamLife
Model::LifeOf(size_t aUpstream) const
{
  return { kService,
           { "u" + std::to_string(aUpstream) },
           mUpstreams[aUpstream].incarnation };
}

WallTime
Model::Wall() const
{
  return WallTime(
    std::chrono::duration_cast<milliseconds>(mTime.Now().time_since_epoch()));
}

PoisonModelResult
Model::Run()
{
  const Instant end = mTime.Now() + kLength;
  for (uint32_t i = 0; i < mSettings.resends; ++i) {
    mTime.After(Between(1s, kLength - 1s),
                [this] { Submit(kPoison, 0, mRandom() % mEntries.size()); });
  }
  for (uint32_t i = 0; i < mSettings.kills; ++i) {
    mTime.After(Between(1s, kLength - 1s),
                [this] { Crash(mRandom() % mUpstreams.size()); });
  }
  mTime.After(0s, [this] { SendInnocents(); });
  mTime.RunUntil(end);
  return mResult;
}

/// A steady stream; some requests are popular, and some of these and of the
/// others share the poison's slot.
void
Model::SendInnocents()
{
  constexpr uint64_t kPopular = 40;
  const uint64_t number = mRandom();
  const bool popular = number % 2 == 0;
  const auto name = popular ? "popular-" + std::to_string(number % kPopular)
                            : "single-" + std::to_string(mResult.innocentsSent);
  const auto slot = static_cast<uint32_t>(std::hash<std::string>{}(name) %
                                          mTable.owners.size());
  ++mResult.innocentsSent;
  Submit(name, slot % 3 == 0 ? 0 : slot, mRandom() % mEntries.size());
  mTime.After(5ms, [this] { SendInnocents(); });
}

void
Model::Submit(std::string aFingerprint, uint32_t aSlot, size_t aEntry)
{
  auto request = std::make_shared<Request>();
  request->fingerprint = std::move(aFingerprint);
  request->slot = aSlot;
  request->entry = aEntry;
  request->attempt = ++mAttempts;
  request->deadline = mTime.Now() + kDeadline;
  Try(request);
}

void
Model::TryLater(const RequestPtr& aRequest)
{
  if (mTime.Now() + 50ms < aRequest->deadline) {
    mTime.After(Between(20ms, 80ms), [=, this] { Try(aRequest); });
  } else {
    EndTrial(aRequest, false);
  }
}

void
Model::Try(const RequestPtr& aRequest)
{
  const Entry& entry = mEntries[aRequest->entry];
  const Table::Owner owner = entry.table->owners[aRequest->slot];
  const Upstream& upstream = mUpstreams[owner.upstream];
  if (!upstream.alive || upstream.incarnation != owner.incarnation) {
    return TryLater(aRequest);
  }
  const auto ban = entry.table->bans.find(aRequest->fingerprint);
  const auto verdict = entry.quarantine.Judge(
    kService,
    aRequest->fingerprint,
    ban == entry.table->bans.end() ? nullptr : &ban->second,
    mTime.Now());
  if (!mSettings.quarantine || verdict == QuarantineVerdict::Free) {
    return RunAt(aRequest, owner.upstream);
  }
  if (verdict == QuarantineVerdict::Banned) {
    return EndTrial(aRequest, false);
  }
  if (verdict == QuarantineVerdict::Suspect) {
    return aRequest->onTrial ? RunAt(aRequest, owner.upstream)
                             : AskTrial(aRequest);
  }
}

void
Model::AskTrial(const RequestPtr& aRequest)
{
  mTime.After(Between(1ms, 10ms), [=, this] {
    const trial::Asked asked{
      { { "host" }, aRequest->entry, aRequest->attempt },
      kService,
      aRequest->fingerprint
    };
    const auto answer = mDesk.Step(asked, mTime.Now());
    mTime.After(Between(1ms, 10ms), [=, this] {
      aRequest->onTrial = answer->granted;
      return answer->granted ? Try(aRequest) : TryLater(aRequest);
    });
  });
}

void
Model::EndTrial(const RequestPtr& aRequest, bool aCleared)
{
  if (!std::exchange(aRequest->onTrial, false)) {
    return;
  }
  mTime.After(Between(1ms, 10ms), [=, this] {
    if (aCleared) {
      Judge(blame::Cleared{ kService, aRequest->fingerprint });
    }
    mDesk.Step(trial::Ended{ { { "host" }, aRequest->entry, aRequest->attempt },
                             kService },
               mTime.Now());
  });
}

void
Model::RunAt(const RequestPtr& aRequest, size_t aUpstream)
{
  mUpstreams[aUpstream].running.push_back(aRequest);
  const uint64_t incarnation = mUpstreams[aUpstream].incarnation;
  if (aRequest->fingerprint == kPoison) {
    mTime.After(Between(1ms, 15ms), [=, this] {
      if (mUpstreams[aUpstream].incarnation == incarnation &&
          mUpstreams[aUpstream].alive) {
        ++mResult.lostToPoison;
        Crash(aUpstream);
      }
    });
    return;
  }
  mTime.After(Between(5ms, 40ms), [=, this] { Answer(aRequest, aUpstream); });
}

void
Model::Answer(const RequestPtr& aRequest, size_t aUpstream)
{
  if (std::erase(mUpstreams[aUpstream].running, aRequest) == 0) {
    return; // It was lost with the upstream.
  }
  ++mResult.innocentsAnswered;
  mEntries[aRequest->entry].quarantine.OnAnswered(kService,
                                                  aRequest->fingerprint);
  EndTrial(aRequest, true);
}

/// The process dies; whoever waited for it notices and sends again. It is back
/// a while later, as a new incarnation.
void
Model::Crash(size_t aUpstream)
{
  Upstream& upstream = mUpstreams[aUpstream];
  if (!upstream.alive) {
    return;
  }
  upstream.alive = false;
  const entry::UpstreamLife life = LifeOf(aUpstream);
  for (const RequestPtr& request : std::exchange(upstream.running, {})) {
    mTime.After(Between(0ms, 5ms), [=, this] {
      mEntries[request->entry].quarantine.OnCrash(
        kService, request->fingerprint, mTime.Now());
      Report(life, request);
      EndTrial(request, false);
      TryLater(request);
    });
  }
  mTime.After(Between(100ms, 900ms), [=, this] { OnLost(life, aUpstream); });
}

void
Model::Report(const entry::UpstreamLife& aLife, const RequestPtr& aRequest)
{
  const blame::Reported report{ aLife,
                                { aRequest->fingerprint },
                                aRequest->onTrial ? aRequest->fingerprint
                                                  : "" };
  const bool late = std::bernoulli_distribution(mSettings.lateReports)(mRandom);
  mTime.After(late ? Between(500ms, 2000ms) : Between(1ms, 20ms),
              [=, this] { Judge(report); });
}

void
Model::OnLost(const entry::UpstreamLife& aLife, size_t aUpstream)
{
  Judge(blame::Lost{ aLife });
  for (Table::Owner& owner : mTable.owners) {
    if (owner.upstream == aUpstream) {
      owner.upstream = AnyAlive();
      owner.incarnation = mUpstreams[owner.upstream].incarnation;
    }
  }
  Publish();
  mTime.After(Between(100ms, 1000ms), [=, this] {
    ++mUpstreams[aUpstream].incarnation;
    mUpstreams[aUpstream].alive = true;
  });
}

size_t
Model::AnyAlive()
{
  size_t upstream = mRandom() % mUpstreams.size();
  while (!mUpstreams[upstream].alive) {
    upstream = (upstream + 1) % mUpstreams.size();
  }
  return upstream;
}

void
Model::Judge(const entry::BlameEvent& aEvent)
{
  for (const entry::SetVerdict& set : mBlame.Step(aEvent, Wall())) {
    const bool banned = set.verdict == QuarantineVerdict::Banned;
    mResult.innocentsBanned += banned && set.fingerprint != kPoison ? 1 : 0;
    wire::Ban& ban = mTable.bans[set.fingerprint];
    ban.set_suspect(set.verdict == QuarantineVerdict::Suspect);
    ban.set_lifted(set.verdict == QuarantineVerdict::Free);
    if (ban.lifted()) {
      mTable.bans.erase(set.fingerprint);
    }
  }
  Publish();
}

/// Each entry takes the newest table whenever its copy arrives.
void
Model::Publish()
{
  ++mTable.version;
  const auto copy = std::make_shared<const Table>(mTable);
  for (Entry& entry : mEntries) {
    mTime.After(Between(1ms, 150ms), [&entry, copy] {
      if (copy->version > entry.table->version) {
        entry.table = copy;
      }
    });
  }
}

} // namespace

PoisonModelResult
RunPoisonModel(const PoisonModelSettings& aSettings)
{
  return Model(aSettings).Run();
}

} // namespace rattandyke::testing

/// One schedule of the request model; private to its source files.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/request_flow.h"
#include "testing/claim_register_model.h"
#include "testing/request_model.h"
#include "testing/virtual_time.h"

namespace rattandyke::testing::request_model {

using namespace std::chrono_literals;
using entry::FlowEffect;
using entry::FlowEvent;
using entry::Lookup;
using entry::Outcome;
using entry::OwnerView;
using entry::RequestFlow;
using std::chrono::milliseconds;
namespace event = entry::flow_event;
namespace effect = entry::flow_effect;

constexpr Duration kLease = 800ms;
constexpr uint32_t kUpstreams = 3;
constexpr uint32_t kOk = 200;
constexpr uint32_t kFailed = 500;
constexpr uint32_t kShed = 503;

/// One piece of work as its caller means it; resends share it.
struct Work
{
  bool idempotent = false;
  std::string key;
  uint32_t runs = 0;
  /// Runs of each sending.
  std::map<uint64_t, uint32_t> runsOf;
  /// Sendings of which "not run" was said.
  std::set<uint64_t> saidNotRun;
};

struct Entry
{
  uint64_t session = 0;
  bool paused = false;
  /// Its register calls and events that wait for it to go on.
  std::vector<std::function<void()>> held;
};

/// One sending: a flow, its edge and its caller.
struct Sending
{
  uint64_t number = 0;
  std::shared_ptr<Work> work;
  size_t entry = 0;
  uint64_t session = 0;
  Instant deadline{};
  std::unique_ptr<RequestFlow> flow;
  uint32_t attempt = 0;
  bool cancelled = false;
  bool holdsSlot = false;
  uint32_t sends = 0;
  uint32_t answers = 0;
  bool callerGone = false;
  /// The flow knows.
  bool toldGone = false;
  bool dead = false;
};
using SendingPtr = std::shared_ptr<Sending>;

/// One schedule. Split over two files: callers, faults and the final judgement;
/// and what carries out the effects: register, queue, network and upstreams.
class Model
{
public:
  explicit Model(const RequestModelSettings& aSettings);
  RequestModelResult Run();

private:
  bool Chance(double aShare);
  Duration Between(milliseconds aLeast, milliseconds aMost);
  Duration NetworkDelay();

  void Submit(const std::shared_ptr<Work>& aWork, uint32_t aResends);
  void Deliver(const SendingPtr& aSending, const FlowEvent& aEvent);
  void PassDeadline(const SendingPtr& aSending);
  void Later(Duration aDelay,
             const SendingPtr& aSending,
             const FlowEvent& aEvent);
  Lookup Look();

  void Do(const SendingPtr& aSending, const effect::Claim& aEffect);
  void Do(const SendingPtr& aSending, const effect::CompleteClaim& aEffect);
  void Do(const SendingPtr& aSending, const effect::ReleaseClaim& aEffect);
  void Do(const SendingPtr& aSending, const effect::AskTrial& aEffect);
  void Do(const SendingPtr&, const effect::EndTrial&) {}
  void Do(const SendingPtr& aSending, const effect::Enqueue& aEffect);
  void Do(const SendingPtr& aSending, const effect::LeaveQueue& aEffect);
  void Do(const SendingPtr& aSending, const effect::Send& aEffect);
  void Do(const SendingPtr& aSending, const effect::CancelSend& aEffect);
  void Do(const SendingPtr& aSending, const effect::FreeSlot& aEffect);
  void Do(const SendingPtr& aSending, const effect::ReplyError& aEffect);
  void Do(const SendingPtr& aSending, const effect::PassAnswer& aEffect);
  void Do(const SendingPtr&, const effect::FinishAnswer&) {}
  void Do(const SendingPtr&, const effect::AbortAnswer&) {}
  void Do(const SendingPtr& aSending, const effect::ReplyStored& aEffect);
  void Do(const SendingPtr& aSending, const effect::WaitRetry& aEffect);
  void Do(const SendingPtr&, const effect::ReportCrash&) {}

  void Write(const SendingPtr& aSending, const effect::Send& aSend);
  void Arrive(const SendingPtr& aSending, const effect::Send& aSend);
  void Answer(const SendingPtr& aSending, uint32_t aAttempt, bool aRan);
  void Said(const SendingPtr& aSending, Outcome aOutcome);
  void RunWork(const SendingPtr& aSending);
  void Keep(const std::function<void()>& aCall);

  void Disturb();
  void KillEntry(size_t aEntry);
  void PauseEntry(size_t aEntry);
  void MoveOwner();
  void TellOwner();
  void Judge();

  const RequestModelSettings mSettings;
  Random mRandom;
  VirtualTime mTime;
  ClaimRegisterModel mRegister;
  entry::RetryBudget mBudget{ {} };
  std::vector<Entry> mEntries;
  std::vector<SendingPtr> mSendings;
  std::vector<std::shared_ptr<Work>> mWorks;
  std::optional<OwnerView> mOwner;
  uint64_t mFence = 1;
  uint64_t mSession = 0;
  RequestModelResult mResult;
};

} // namespace rattandyke::testing::request_model

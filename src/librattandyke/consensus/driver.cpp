#include "consensus/driver.h"

#include <deque>
#include <map>
#include <random>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "consensus/disk_thread.h"
#include "consensus/participant.h"
#include "log/log.h"

namespace rattandyke::consensus {

namespace {

/// What an election changes.
struct Standing
{
  Role role = Role::Follower;
  Term term;
  std::optional<HostName> leader;
  bool operator==(const Standing&) const = default;
};

uint64_t
RandomIdentity()
{
  std::random_device source;
  const uint64_t high = source();
  const uint64_t drawn = (high << 32) | source();
  return drawn == 0 ? 1 : drawn;
}

} // namespace

struct Driver::Impl : std::enable_shared_from_this<Driver::Impl>
{
  Impl(boost::asio::any_io_executor aExecutor,
       Options aOptions,
       Callbacks aCallbacks,
       const Clock& aClock,
       uint64_t aSeed)
    : mExecutor(std::move(aExecutor))
    , mOptions(std::move(aOptions))
    , mCallbacks(std::move(aCallbacks))
    , mClock(aClock)
    , mSeed(aSeed)
    , mTimer(mExecutor)
  {
  }

  Result<void> Start()
  {
    auto store = storage::LogStore::Open(
      mOptions.openFiles(), mOptions.dataFolder, {}, RandomIdentity());
    if (!store) {
      return tl::unexpected(store.error());
    }
    const HostIdentity identity = (*store)->Identity();
    Restored restored = (*store)->TakeRestored();
    if (restored.snapshot) {
      if (auto loaded = mCallbacks.loadSnapshot(*restored.snapshot->data);
          !loaded) {
        return loaded;
      }
    }
    mParticipant.emplace(Participant::Options{ mOptions.name,
                                               identity,
                                               mOptions.address,
                                               mOptions.controlHosts,
                                               mOptions.replica },
                         std::move(restored),
                         mSeed ^ identity.value,
                         mClock.Now());
    mDisk = std::make_unique<DiskThread>(std::move(*store), DiskCallbacks());
    mRunning = true;
    OnTimer();
    return mRunning ? Result<void>{} : tl::unexpected(*mDiskError);
  }

  /// Runs a member function later on the executor, unless stopped by then.
  template<typename Call>
  void Post(Call aCall)
  {
    boost::asio::post(mExecutor, [weak = weak_from_this(), aCall] {
      const auto self = weak.lock();
      if (self && self->mRunning) {
        aCall(*self);
      }
    });
  }

  DiskThread::Callbacks DiskCallbacks()
  {
    DiskThread::Callbacks callbacks;
    callbacks.synced = [this](Ticket aTicket) {
      Post([aTicket](Impl& aSelf) { aSelf.Step(Synced{ aTicket }); });
    };
    callbacks.changed = [this](const std::optional<Error>& aError) {
      Post([aError](Impl& aSelf) { aSelf.OnDiskChanged(aError); });
    };
    return callbacks;
  }

  void OnDiskChanged(const std::optional<Error>& aError)
  {
    mDiskError = aError;
    Step(StorageChanged{ !aError });
  }

  void Stop()
  {
    mRunning = false;
    mTimer.cancel();
    mDisk.reset();
    const auto waiting = std::exchange(mWaiting, {});
    for (const auto& [id, done] : waiting) {
      done(Fail(Code::ProposalDropped, "The host shuts down."));
    }
    for (const auto& done : std::exchange(mTransferDone, {})) {
      done();
    }
  }

  void ArmTimer()
  {
    if (!mRunning) {
      return;
    }
    const Instant due = mParticipant->NextDeadline();
    if (due == mArmedFor) {
      return;
    }
    mArmedFor = due;
    // The clock may count time that the timer's does not, so instants of the
    // two are not comparable.
    mTimer.expires_after(std::max(due - mClock.Now(), Duration::zero()));
    mTimer.async_wait([weak = weak_from_this()](auto aError) {
      const auto self = weak.lock();
      if (self && self->mRunning && !aError) {
        self->OnTimer();
      }
    });
  }

  void OnTimer()
  {
    mArmedFor.reset();
    Step(Tick{});
  }

  void Receive(const HostName& aFrom, std::string_view aBytes)
  {
    wire::ConsensusMessage message;
    if (!message.ParseFromArray(aBytes.data(),
                                static_cast<int>(aBytes.size()))) {
      return;
    }
    Step(MessageReceived{ std::move(message) });
  }

  /// Steps the replica. A callback may lead back here; its event waits until
  /// the effects of the one before are done.
  void Step(Event aEvent)
  {
    mEvents.push_back(std::move(aEvent));
    if (mStepping) {
      return;
    }
    mStepping = true;
    while (!mEvents.empty() && mRunning) {
      const Event event = std::move(mEvents.front());
      mEvents.pop_front();
      for (Effect& effect : mParticipant->Step(event, mClock.Now())) {
        // A callback may have stopped the driver.
        if (mRunning) {
          std::visit([this](auto& aItem) { On(aItem); }, effect);
        }
      }
    }
    mStepping = false;
    NoteRole();
    ArmTimer();
  }

  /// One line for each change of role, term or leader: an election can be
  /// followed from the logs of all hosts.
  void NoteRole()
  {
    const Replica& log = mParticipant->Log();
    const Standing standing{ log.CurrentRole(),
                             log.CurrentTerm(),
                             log.Leader() };
    if (standing == mStanding) {
      return;
    }
    mStanding = standing;
    log::Line(log::Part::Raft, log::Severity::Info)
      << "is " << NameOf(standing.role) << " in term " << standing.term.value
      << ", leader " << (standing.leader ? standing.leader->value : "none")
      << ", log up to " << log.Log().LastIndex() << ", commit "
      << log.CommitIndex().value;
  }

  void On(Send& aEffect)
  {
    mCallbacks.send(aEffect.to, aEffect.message.SerializeAsString());
  }

  void On(Persist& aEffect)
  {
    if (mDisk) {
      mDisk->Add(std::move(aEffect));
    }
  }

  void On(Apply& aEffect) { mCallbacks.apply(aEffect.index, aEffect.payload); }

  void On(LoadSnapshot& aEffect)
  {
    if (Result<void> loaded = mCallbacks.loadSnapshot(*aEffect.data); !loaded) {
      HaltWith(loaded.error());
    }
  }

  void On(Halt& aEffect) { HaltWith(aEffect.error); }

  /// Stops before the effects that follow are carried out, so that what can't
  /// be read is not written to the disk either.
  void HaltWith(const Error& aError)
  {
    log::Line(log::Part::Raft, log::Severity::Error)
      << "this host takes no further part in the group: " << aError.message;
    mDiskError = aError;
    Stop();
  }

  void On(TakeSnapshot& aEffect)
  {
    auto data = std::make_shared<const std::string>(mCallbacks.makeSnapshot());
    Step(SnapshotTaken{ aEffect.index, std::move(data) });
  }

  void On(ProposalDone& aEffect) { Finish(aEffect.id, aEffect.index); }

  void On(ProposalFailed& aEffect)
  {
    Finish(aEffect.id, tl::unexpected(aEffect.error));
  }

  void On(LeadershipGained& aEffect)
  {
    mCallbacks.leadership(aEffect.term.value);
  }

  void On(LeadershipLost&) { mCallbacks.leadership(std::nullopt); }

  void On(TransferEnded&)
  {
    for (const auto& done : std::exchange(mTransferDone, {})) {
      done();
    }
  }

  ProposalId AddWaiting(ProposeDone aDone)
  {
    const ProposalId id{ ++mLastProposal };
    mWaiting.emplace(id, std::move(aDone));
    return id;
  }

  void Finish(ProposalId aId, Result<LogIndex> aResult)
  {
    const auto found = mWaiting.find(aId);
    if (found == mWaiting.end()) {
      return;
    }
    const ProposeDone done = std::move(found->second);
    mWaiting.erase(found);
    done(std::move(aResult));
  }

  void Propose(std::string aPayload, ProposeDone aDone)
  {
    if (!mRunning) {
      aDone(Fail(Code::NotLeader, "The host does not run."));
      return;
    }
    if (mDiskError) {
      aDone(tl::unexpected(*mDiskError));
      return;
    }
    mBatch.push_back({ AddWaiting(std::move(aDone)), std::move(aPayload) });
    if (mBatch.size() == 1) {
      Post([](Impl& aSelf) {
        aSelf.Step(consensus::Propose{ std::exchange(aSelf.mBatch, {}) });
      });
    }
  }

  void Change(MembershipChange aChange, ProposeDone aDone)
  {
    Step(ChangeMembership{ AddWaiting(std::move(aDone)), std::move(aChange) });
  }

  const boost::asio::any_io_executor mExecutor;
  const Options mOptions;
  const Callbacks mCallbacks;
  const Clock& mClock;
  const uint64_t mSeed;
  boost::asio::steady_timer mTimer;
  std::optional<Instant> mArmedFor;
  std::optional<Participant> mParticipant;
  std::unique_ptr<DiskThread> mDisk;
  std::optional<Error> mDiskError;
  std::deque<Event> mEvents;
  bool mStepping = false;
  Standing mStanding;
  bool mRunning = false;
  uint64_t mLastProposal = 0;
  std::map<ProposalId, ProposeDone> mWaiting;
  std::vector<Proposal> mBatch;
  std::vector<std::function<void()>> mTransferDone;
};

Driver::Driver(boost::asio::any_io_executor aExecutor,
               Options aOptions,
               Callbacks aCallbacks,
               const Clock& aClock,
               uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(std::move(aExecutor),
                                 std::move(aOptions),
                                 std::move(aCallbacks),
                                 aClock,
                                 aSeed))
{
}

Driver::~Driver()
{
  Stop();
}

Result<void>
Driver::Start()
{
  return mImpl->Start();
}

void
Driver::Stop()
{
  mImpl->Stop();
}

void
Driver::Receive(const HostName& aFrom, std::string_view aBytes)
{
  if (mImpl->mRunning) {
    mImpl->Receive(aFrom, aBytes);
  }
}

void
Driver::Propose(std::string aPayload, ProposeDone aDone)
{
  mImpl->Propose(std::move(aPayload), std::move(aDone));
}

bool
Driver::IsLeader() const
{
  return mImpl->mRunning && mImpl->mParticipant->Log().IsReadyLeader();
}

std::optional<HostName>
Driver::LeaderHint() const
{
  return mImpl->mParticipant ? mImpl->mParticipant->Log().Leader()
                             : std::nullopt;
}

bool
Driver::FollowsUpToDate() const
{
  return mImpl->mRunning && mImpl->mParticipant->Log().FollowsUpToDate();
}

uint64_t
Driver::AppendsHeard() const
{
  return mImpl->mRunning ? mImpl->mParticipant->Log().AppendsHeard() : 0;
}

HostIdentity
Driver::Identity() const
{
  return mImpl->mParticipant ? mImpl->mParticipant->Log().Identity()
                             : HostIdentity{};
}

std::optional<Instant>
Driver::QuorumContact() const
{
  if (!mImpl->mRunning) {
    return std::nullopt;
  }
  return mImpl->mParticipant->Log().QuorumContact(mImpl->mClock.Now());
}

void
Driver::TransferLeadership(std::function<void()> aDone)
{
  if (!mImpl->mRunning) {
    aDone();
    return;
  }
  mImpl->mTransferDone.push_back(std::move(aDone));
  mImpl->Step(consensus::TransferLeadership{});
}

GroupStatus
Driver::Status() const
{
  if (!mImpl->mParticipant) {
    return {};
  }
  GroupStatus status = mImpl->mParticipant->Log().Status(mImpl->mClock.Now());
  status.syncs = mImpl->mDisk ? mImpl->mDisk->Syncs() : 0;
  if (mImpl->mDiskError) {
    status.storageError = mImpl->mDiskError->message;
  }
  return status;
}

namespace {

Driver::ProposeDone
WithoutIndex(Driver::Done aDone)
{
  return [done = std::move(aDone)](Result<LogIndex> aResult) {
    done(aResult.map([](LogIndex) {}));
  };
}

} // namespace

void
Driver::AddLearner(const Member& aMember, HostIdentity aIdentity, Done aDone)
{
  mImpl->Change(consensus::AddLearner{ aMember, aIdentity },
                WithoutIndex(std::move(aDone)));
}

void
Driver::Promote(HostIdentity aIdentity, Done aDone)
{
  mImpl->Change(PromoteLearner{ aIdentity }, WithoutIndex(std::move(aDone)));
}

void
Driver::Remove(HostIdentity aIdentity, Done aDone)
{
  mImpl->Change(RemoveMember{ aIdentity }, WithoutIndex(std::move(aDone)));
}

} // namespace rattandyke::consensus

#include "control/control_service.h"

#include <mutex>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <rattandyke/placement.h>

#include "base/endpoint.h"
#include "consensus/driver.h"
#include "control/call_handler.h"
#include "control/coordinator.h"
#include "control/group_status.h"
#include "control/state.h"
#include "log/log.h"

namespace rattandyke::control {

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 10 };
constexpr uint64_t kTicksPerStatus = 10;

using Strand = boost::asio::strand<boost::asio::any_io_executor>;

} // namespace

struct ControlService::Impl : std::enable_shared_from_this<ControlService::Impl>
{
  Impl(const boost::asio::any_io_executor& aExecutor,
       Options aOptions,
       net::PeerTransport& aTransport,
       const Clock& aClock,
       uint64_t aSeed)
    : mStrand(boost::asio::make_strand(aExecutor))
    , mOptions(std::move(aOptions))
    , mTransport(aTransport)
    , mClock(aClock)
    , mTimer(mStrand)
    , mCoordinator(mOptions.name, mOptions.leases, mState)
    , mDriver(mStrand, DriverOptions(), DriverCallbacks(), aClock, aSeed)
    , mCalls(mState, mCoordinator, mDriver, aClock)
  {
  }

  consensus::Driver::Options DriverOptions() const
  {
    consensus::Driver::Options options;
    options.name = mOptions.name;
    options.dataFolder = mOptions.dataFolder;
    options.controlHosts = mOptions.controlHosts;
    options.replica.electionTimeoutMin = mOptions.leases.electionTimeoutMin;
    return options;
  }

  consensus::Driver::Callbacks DriverCallbacks()
  {
    consensus::Driver::Callbacks callbacks;
    callbacks.send = [this](const HostName& aTo, std::string aBytes) {
      wire::Envelope envelope;
      envelope.set_consensus(std::move(aBytes));
      mTransport.Send(aTo, std::move(envelope));
    };
    callbacks.apply = [this](LogIndex aIndex, std::string_view aPayload) {
      OnApply(aIndex, aPayload);
    };
    callbacks.makeSnapshot = [this] { return mState.Snapshot(); };
    callbacks.loadSnapshot = [this](std::string_view aSnapshot) {
      return mState.Restore(aSnapshot);
    };
    callbacks.leadership = [this](std::optional<uint64_t> aTerm) {
      OnLeadership(aTerm);
    };
    return callbacks;
  }

  Result<void> Start()
  {
    for (const consensus::Member& member : mOptions.controlHosts) {
      mTransport.SetPeer(member.name, member.address);
    }
    if (auto started = mDriver.Start(); !started) {
      return started;
    }
    mIdentity = mDriver.Identity();
    mRunning = true;
    Arm();
    return {};
  }

  void Arm()
  {
    mTimer.expires_after(kTickInterval);
    mTimer.async_wait([weak = weak_from_this()](auto aError) {
      const auto self = weak.lock();
      if (self && !aError && self->mRunning) {
        self->OnTick();
        self->Arm();
      }
    });
  }

  void OnTick()
  {
    Step(Tick{ mClock.Wall() });
    // The first tick too: a host that has just started has a status.
    if (mTicks++ % kTicksPerStatus != 0) {
      return;
    }
    std::string status = StatusOf(mDriver.Status(), mState, mCoordinator);
    const std::lock_guard lock(mStatusMutex);
    mStatus = std::move(status);
  }

  void OnApply(LogIndex aIndex, std::string_view aPayload)
  {
    wire::Command command;
    if (!command.ParseFromArray(aPayload.data(),
                                static_cast<int>(aPayload.size()))) {
      log::Line(log::Part::Control, log::Severity::Error)
        << "entry " << aIndex.value << " cannot be read and has no effect";
      return;
    }
    ApplyResult result = mState.Apply(aIndex, command);
    mCalls.Keep(aIndex, std::move(result.reply));
    Step(Applied{ result.tableChanged });
  }

  void OnLeadership(std::optional<uint64_t> aTerm)
  {
    if (aTerm && !mLeaving) {
      log::Line(log::Part::Control, log::Severity::Info)
        << "leads in term " << *aTerm;
      mCalls.Begin(mClock.Now());
      Step(BecameLeader{ *aTerm, mClock.Now() });
      return;
    }
    Step(SteppedDown{});
  }

  void Step(const Event& aEvent)
  {
    if (mLeaving && !std::holds_alternative<SteppedDown>(aEvent)) {
      return;
    }
    if (const auto contact = mDriver.QuorumContact()) {
      Run(QuorumConfirmed{ *contact });
    }
    Run(aEvent);
  }

  void Run(const Event& aEvent)
  {
    for (Effect& effect : mCoordinator.Step(aEvent, mClock.Now())) {
      std::visit([this](auto& aOne) { On(aOne); }, effect);
    }
  }

  void On(Reply& aEffect)
  {
    const HostName to{ aEffect.reply.host() };
    wire::Envelope envelope;
    *envelope.mutable_heartbeat_reply() = std::move(aEffect.reply);
    mTransport.Send(to, std::move(envelope));
  }

  void On(Propose& aEffect)
  {
    aEffect.command.set_proposed_unix_ms(
      mClock.Wall().time_since_epoch().count());
    mDriver.Propose(
      aEffect.command.SerializeAsString(),
      [weak = weak_from_this(), id = aEffect.id](const Result<LogIndex>&) {
        if (const auto self = weak.lock()) {
          self->Step(ProposalDone{ id });
        }
      });
  }

  void On(Note& aEffect)
  {
    log::Line(log::Part::Control, log::Severity::Info) << aEffect.text;
  }

  void OnEnvelope(const wire::Envelope& aEnvelope)
  {
    if (!mRunning) {
      return;
    }
    if (aEnvelope.has_consensus()) {
      mDriver.Receive(HostName{ aEnvelope.from() }, aEnvelope.consensus());
    } else if (aEnvelope.has_heartbeat()) {
      OnHeartbeat(aEnvelope);
    } else if (aEnvelope.has_call_request()) {
      OnCall(aEnvelope);
    }
  }

  void OnHeartbeat(const wire::Envelope& aEnvelope)
  {
    const wire::Heartbeat& heartbeat = aEnvelope.heartbeat();
    if (heartbeat.host() != aEnvelope.from()) {
      return;
    }
    LearnAddress(heartbeat);
    if (mCoordinator.IsLeader()) {
      Step(HeartbeatReceived{ heartbeat });
      return;
    }
    wire::Envelope envelope;
    wire::HeartbeatReply& reply = *envelope.mutable_heartbeat_reply();
    reply.set_host(heartbeat.host());
    reply.set_session(heartbeat.session());
    reply.set_sequence(heartbeat.sequence());
    reply.set_leader(LeaderHint());
    mTransport.Send(HostName{ heartbeat.host() }, std::move(envelope));
  }

  void LearnAddress(const wire::Heartbeat& aHeartbeat)
  {
    std::string& known = mAddresses[aHeartbeat.host()];
    if (known == aHeartbeat.peer_address()) {
      return;
    }
    if (const auto address = ParseEndpoint(aHeartbeat.peer_address())) {
      known = aHeartbeat.peer_address();
      mTransport.SetPeer(HostName{ aHeartbeat.host() }, *address);
    }
  }

  std::string LeaderHint() const
  {
    const auto hint = mDriver.LeaderHint();
    // Itself is no hint while it may not answer as a leader.
    return hint && *hint != mOptions.name ? hint->value : std::string();
  }

  void OnCall(const wire::Envelope& aEnvelope)
  {
    const wire::CallRequest& request = aEnvelope.call_request();
    const auto reply = [weak = weak_from_this(),
                        to = HostName{ aEnvelope.from() },
                        id = request.id()](wire::CallReply aReply) {
      if (const auto self = weak.lock()) {
        self->SendReply(to, id, std::move(aReply));
      }
    };
    if (mLeaving || !mCoordinator.IsQuorumFresh(mClock.Now())) {
      wire::CallReply refusal;
      refusal.set_code(static_cast<uint32_t>(Code::NotLeader));
      refusal.set_message("This host does not lead.");
      refusal.set_leader(LeaderHint());
      return reply(std::move(refusal));
    }
    mCalls.Handle(request, reply);
  }

  void SendReply(const HostName& aTo, uint64_t aId, wire::CallReply aReply)
  {
    aReply.set_id(aId);
    wire::Envelope envelope;
    *envelope.mutable_call_reply() = std::move(aReply);
    mTransport.Send(aTo, std::move(envelope));
  }

  void Shutdown(const std::function<void()>& aDone)
  {
    if (!mRunning) {
      return aDone();
    }
    // Before leadership is offered to another: a vote for it ignores how
    // lately this leader was heard, so leases must have ended being given.
    Step(SteppedDown{});
    mLeaving = true;
    mDriver.TransferLeadership([self = shared_from_this(), aDone] {
      boost::asio::post(self->mStrand, [self, aDone] {
        self->mRunning = false;
        self->mTimer.cancel();
        self->mDriver.Stop();
        aDone();
      });
    });
  }

  std::string StatusJson() const
  {
    const std::lock_guard lock(mStatusMutex);
    return mStatus;
  }

  Strand mStrand;
  const Options mOptions;
  net::PeerTransport& mTransport;
  const Clock& mClock;
  boost::asio::steady_timer mTimer;
  State mState;
  Coordinator mCoordinator;
  consensus::Driver mDriver;
  CallHandler mCalls;
  uint64_t mTicks = 0;
  bool mRunning = false;
  bool mLeaving = false;
  HostIdentity mIdentity;
  std::map<std::string, std::string> mAddresses;
  mutable std::mutex mStatusMutex;
  std::string mStatus = "{}";
};

ControlService::ControlService(const boost::asio::any_io_executor& aExecutor,
                               Options aOptions,
                               net::PeerTransport& aTransport,
                               const Clock& aClock,
                               uint64_t aSeed)
  : mImpl(std::make_shared<Impl>(aExecutor,
                                 std::move(aOptions),
                                 aTransport,
                                 aClock,
                                 aSeed))
{
}

ControlService::~ControlService() = default;

Result<void>
ControlService::Start()
{
  return mImpl->Start();
}

void
ControlService::Handle(const wire::Envelope& aEnvelope)
{
  boost::asio::post(mImpl->mStrand,
                    [impl = mImpl, aEnvelope] { impl->OnEnvelope(aEnvelope); });
}

void
ControlService::Shutdown(std::function<void()> aDone)
{
  boost::asio::post(mImpl->mStrand, [impl = mImpl, aDone = std::move(aDone)] {
    impl->Shutdown(aDone);
  });
}

HostIdentity
ControlService::Identity() const
{
  return mImpl->mIdentity;
}

std::string
ControlService::StatusJson() const
{
  return mImpl->StatusJson();
}

} // namespace rattandyke::control

#include "http/credit_home.h"

#include <algorithm>
#include <map>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "http/credit_messages.h"
#include "http/make_admission.h"

namespace rattandyke::http {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kSweepInterval{ 100 };
/// How long an entry's word on the usable slots counts.
constexpr std::chrono::seconds kEvidenceLasts{ 1 };

} // namespace

struct CreditHome::Impl : std::enable_shared_from_this<CreditHome::Impl>
{
  /// One entry's word on how many slots the upstream can take now.
  struct UsableSlots
  {
    uint32_t slots = 0;
    Instant told{};
  };

  /// One upstream's queue.
  struct Desk
  {
    Desk(const asio::any_io_executor& aStrand,
         std::unique_ptr<admission::Admission> aAdmission,
         uint32_t aSlots)
      : broker(std::move(aAdmission))
      , timer(aStrand)
      , slots(aSlots)
    {
    }

    entry::CreditBroker broker;
    asio::steady_timer timer;
    std::optional<Instant> armed;
    uint32_t slots;
    std::map<HostName, UsableSlots> usable;
    NamedRate rate;
  };

  Impl(const asio::any_io_executor& aExecutor,
       HostName aName,
       Sources aSources,
       const Clock& aClock)
    : strand(asio::make_strand(aExecutor))
    , name(std::move(aName))
    , sources(std::move(aSources))
    , clock(aClock)
    , sweeper(strand)
  {
  }

  void Take(const wire::Envelope& aEnvelope);
  void TakeAsk(const HostName& aFrom,
               uint64_t aSession,
               const wire::CreditRequest& aRequest);
  void TakeReturn(const HostName& aFrom,
                  uint64_t aSession,
                  const wire::CreditRequest& aRequest);
  Desk* DeskOf(const UpstreamLife& aLife);
  void Step(const UpstreamLife& aLife,
            Desk& aDesk,
            const entry::CreditEvent& aEvent);
  void TakeNotice(const UpstreamLife& aLife,
                  Desk& aDesk,
                  const wire::CreditRequest& aRequest);
  void TakeUsable(const UpstreamLife& aLife,
                  Desk& aDesk,
                  const HostName& aFrom,
                  uint32_t aSlots);
  void Answer(const HostName& aTo, wire::CreditAnswer aAnswer);
  void Arm(const UpstreamLife& aLife, Desk& aDesk);
  void NoteSession(const HostName& aHost, uint64_t aSession);
  void EndSession(const HostName& aHost, uint64_t aSession);
  void ArmSweep();
  void Sweep();
  void DropMovedDesks();
  void EndLostSessions();

  const asio::any_io_executor strand;
  const HostName name;
  const Sources sources;
  const Clock& clock;
  asio::steady_timer sweeper;
  std::map<UpstreamLife, Desk> desks;
  std::map<HostName, uint64_t> sessions;
  std::set<HostName> seenLive;
  bool stopped = false;
};

void
CreditHome::Impl::Take(const wire::Envelope& aEnvelope)
{
  if (stopped) {
    return;
  }
  const HostName from{ aEnvelope.from() };
  const wire::CreditRequest& request = aEnvelope.credit_request();
  NoteSession(from, aEnvelope.from_session());
  if (request.has_ask()) {
    TakeAsk(from, aEnvelope.from_session(), request);
  } else if (request.has_give_back()) {
    TakeReturn(from, aEnvelope.from_session(), request);
  }
}

/// A new process of an entry has none of the old one's requests.
void
CreditHome::Impl::NoteSession(const HostName& aHost, uint64_t aSession)
{
  uint64_t& known = sessions[aHost];
  if (known != 0 && known != aSession) {
    EndSession(aHost, known);
  }
  known = aSession;
}

void
CreditHome::Impl::EndSession(const HostName& aHost, uint64_t aSession)
{
  for (auto& [life, desk] : desks) {
    desk.usable.erase(aHost);
    Step(life, desk, entry::credit_event::SessionGone{ aHost, aSession });
  }
}

void
CreditHome::Impl::TakeAsk(const HostName& aFrom,
                          uint64_t aSession,
                          const wire::CreditRequest& aRequest)
{
  const UpstreamLife life = LifeOf(aRequest);
  Desk* desk = DeskOf(life);
  if (desk == nullptr) {
    return;
  }
  TakeNotice(life, *desk, aRequest);
  TakeUsable(life, *desk, aFrom, aRequest.ask().usable_slots());
  Step(life, *desk, AskedIn(aRequest, { aFrom, aSession, aRequest.request() }));
}

void
CreditHome::Impl::TakeReturn(const HostName& aFrom,
                             uint64_t aSession,
                             const wire::CreditRequest& aRequest)
{
  const UpstreamLife life = LifeOf(aRequest);
  // Acknowledged in any case: what is unknown here holds no slot here.
  Answer(aFrom, ReturnedMessage(life, aRequest.request()));
  const auto desk = desks.find(life);
  if (desk != desks.end()) {
    TakeNotice(life, desk->second, aRequest);
    Step(life,
         desk->second,
         ReturnedIn(aRequest, { aFrom, aSession, aRequest.request() }));
  }
}

CreditHome::Impl::Desk*
CreditHome::Impl::DeskOf(const UpstreamLife& aLife)
{
  const auto known = desks.find(aLife);
  if (known != desks.end()) {
    return &known->second;
  }
  const auto table = sources.table();
  const auto* upstream = table->FindUpstream(aLife.service, aLife.name);
  const auto* record = table->FindServiceByName(aLife.service);
  const bool own = upstream != nullptr && record != nullptr &&
                   upstream->home == name &&
                   upstream->incarnation == aLife.incarnation;
  if (!own) {
    return nullptr;
  }
  const auto [desk, isNew] = desks.try_emplace(
    aLife, strand, MakeAdmission(*record, upstream->slots), upstream->slots);
  return &desk->second;
}

/// Entries tell what the upstream's responses say, also to a home that has just
/// taken over.
void
CreditHome::Impl::TakeNotice(const UpstreamLife& aLife,
                             Desk& aDesk,
                             const wire::CreditRequest& aRequest)
{
  if (aRequest.has_notice() &&
      ApplyNotice(aRequest.notice(), aDesk.rate, clock.Now())) {
    Step(
      aLife,
      aDesk,
      entry::credit_event::RateLimitChanged{ aDesk.rate.RequestsPerSecond() });
  }
}

/// The upstream gets what every entry that asked lately thinks it can take: of
/// a cold start all see the same, and of shedding the one that met it.
void
CreditHome::Impl::TakeUsable(const UpstreamLife& aLife,
                             Desk& aDesk,
                             const HostName& aFrom,
                             uint32_t aSlots)
{
  const Instant now = clock.Now();
  aDesk.usable[aFrom] = { aSlots, now };
  std::erase_if(aDesk.usable, [&](const auto& aOne) {
    return now - aOne.second.told > kEvidenceLasts;
  });
  uint32_t slots = aSlots;
  for (const auto& [host, usable] : aDesk.usable) {
    slots = std::min(slots, usable.slots);
  }
  if (slots != aDesk.slots) {
    aDesk.slots = slots;
    Step(aLife, aDesk, entry::credit_event::SlotsChanged{ slots });
  }
}

void
CreditHome::Impl::Step(const UpstreamLife& aLife,
                       Desk& aDesk,
                       const entry::CreditEvent& aEvent)
{
  for (const auto& answer : aDesk.broker.Step(aEvent, clock.Now())) {
    auto message = AnswerMessage(aLife, answer);
    if (aDesk.rate.WasNamed()) {
      *message.mutable_notice() = NoticeMessage(aDesk.rate, clock.Now());
    }
    Answer(answer.key.host, std::move(message));
  }
  Arm(aLife, aDesk);
}

void
CreditHome::Impl::Answer(const HostName& aTo, wire::CreditAnswer aAnswer)
{
  wire::Envelope envelope;
  *envelope.mutable_credit_answer() = std::move(aAnswer);
  sources.send(aTo, std::move(envelope));
}

void
CreditHome::Impl::Arm(const UpstreamLife& aLife, Desk& aDesk)
{
  const auto next = aDesk.broker.NextTick();
  if (!next || stopped || (aDesk.armed && *aDesk.armed <= *next)) {
    return;
  }
  aDesk.armed = *next;
  aDesk.timer.expires_at(*next);
  aDesk.timer.async_wait(
    [weak = weak_from_this(), life = aLife](const auto& aError) {
      const auto self = weak.lock();
      if (!self || aError) {
        return;
      }
      const auto desk = self->desks.find(life);
      if (desk != self->desks.end()) {
        desk->second.armed.reset();
        self->Step(life, desk->second, entry::credit_event::Tick{});
      }
    });
}

void
CreditHome::Impl::ArmSweep()
{
  sweeper.expires_after(kSweepInterval);
  sweeper.async_wait([weak = weak_from_this()](const auto& aError) {
    const auto self = weak.lock();
    if (self && !aError && !self->stopped) {
      self->Sweep();
      self->ArmSweep();
    }
  });
}

void
CreditHome::Impl::Sweep()
{
  DropMovedDesks();
  EndLostSessions();
}

/// Entries whose requests wait at a dropped desk hear nothing more, and ask the
/// new home or go by their own limit.
void
CreditHome::Impl::DropMovedDesks()
{
  const auto table = sources.table();
  std::erase_if(desks, [&](const auto& aOne) {
    const UpstreamLife& life = aOne.first;
    const auto* upstream = table->FindUpstream(life.service, life.name);
    return upstream == nullptr || upstream->home != name ||
           upstream->incarnation != life.incarnation;
  });
}

/// Frees the slots of entries that died. Only an entry that was live and is no
/// longer counts as lost: one that just started may ask before this host has
/// heard of its lease, and would lose its slots.
void
CreditHome::Impl::EndLostSessions()
{
  const std::vector<HostName> listed = sources.liveHosts();
  if (listed.empty()) {
    return; // No news from a leader.
  }
  std::set<HostName> live(listed.begin(), listed.end());
  for (const HostName& host : seenLive) {
    const auto session = sessions.find(host);
    if (!live.contains(host) && session != sessions.end()) {
      EndSession(host, session->second);
      sessions.erase(session);
    }
  }
  seenLive = std::move(live);
}

CreditHome::CreditHome(const asio::any_io_executor& aExecutor,
                       HostName aName,
                       Sources aSources,
                       const Clock& aClock)
  : mImpl(std::make_shared<Impl>(aExecutor,
                                 std::move(aName),
                                 std::move(aSources),
                                 aClock))
{
}

CreditHome::~CreditHome()
{
  Stop();
}

void
CreditHome::Start()
{
  asio::post(mImpl->strand, [impl = mImpl] { impl->ArmSweep(); });
}

void
CreditHome::Stop()
{
  asio::post(mImpl->strand, [impl = mImpl] {
    impl->stopped = true;
    impl->sweeper.cancel();
    impl->desks.clear();
  });
}

void
CreditHome::Handle(const wire::Envelope& aEnvelope)
{
  if (aEnvelope.has_credit_request()) {
    asio::post(mImpl->strand,
               [impl = mImpl, aEnvelope] { impl->Take(aEnvelope); });
  }
}

} // namespace rattandyke::http

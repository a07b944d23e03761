#include "gateway/crash_register.h"

#include <algorithm>
#include <set>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

/// Error of the times that different entry hosts tell.
constexpr milliseconds kTimeError{ 20 };
/// Time for which counts may change, as reports of other entry hosts arrive.
constexpr std::chrono::seconds kSettled{ 2 };

WallTime
FromUnixMs(int64_t aTime)
{
  return WallTime{ milliseconds{ aTime } };
}

int64_t
ToUnixMs(WallTime aTime)
{
  return aTime.time_since_epoch().count();
}

UpstreamProcessId
FromMessage(const auto& aMessage)
{
  return { aMessage.instance(), aMessage.life() };
}

} // namespace

void
CrashRegister::Apply(const wire::RecordCrashes& aCommand,
                     const std::function<bool(const std::string&)>& aMayCrash)
{
  mNow = FromUnixMs(aCommand.told_at_ms());
  RemoveExpired();
  UpdateBlame(); // Before what else was lost then is forgotten.
  for (const wire::InterruptedRequest& interruption : aCommand.interrupted()) {
    if (aMayCrash(interruption.instance())) {
      RecordInterruption(interruption);
    }
  }
  for (const std::string& fingerprint : aCommand.answered()) {
    const auto found = mRequests.find(fingerprint);
    if (found != mRequests.end() && found->second.bannedUntil <= mNow) {
      mRequests.erase(found);
    }
  }
  for (const wire::UpstreamProcess& process : aCommand.ended()) {
    Confirm(FromMessage(process));
  }
  for (const wire::UpstreamProcess& process : aCommand.alive()) {
    Withdraw(FromMessage(process));
  }
  for (const std::string& fingerprint : aCommand.lifted()) {
    mRequests.erase(fingerprint);
  }
  UpdateBlame();
  UpdateVerdictsEnd();
}

CrashRegister::CrashIterator
CrashRegister::MomentEnd(CrashIterator aFirst, CrashIterator aEnd)
{
  return std::find_if(std::next(aFirst), aEnd, [&](const Crash& aCrash) {
    return aCrash.sentAt >= aFirst->at + kMoment;
  });
}

bool
CrashRegister::ExplainsMoment(const Request& aRequest,
                              CrashIterator aFirst,
                              CrashIterator aEnd) const
{
  const WallTime from = aFirst->at - kMoment;
  const WallTime to = std::prev(aEnd)->at + kMoment;
  return std::all_of(mRecent.begin(), mRecent.end(), [&](const Crash& aOther) {
    return aOther.at < from || aOther.at > to ||
           std::any_of(aRequest.crashes.begin(),
                       aRequest.crashes.end(),
                       [&](const Crash& aCrash) {
                         return aCrash.process == aOther.process;
                       });
  });
}

CrashRegister::Crashes
CrashRegister::BlamedCrashes(const Request& aRequest) const
{
  const Crashes& crashes = aRequest.crashes;
  Crashes blamed;
  for (auto first = crashes.begin(); first != crashes.end();) {
    const auto end = MomentEnd(first, crashes.end());
    const bool overlaps =
      std::adjacent_find(
        first, end, [](const Crash& aBefore, const Crash& aAfter) {
          return aAfter.sentAt < aBefore.at - kTimeError;
        }) != end;
    const bool countsEach = std::next(first) != end && !overlaps &&
                            ExplainsMoment(aRequest, first, end);
    blamed.insert(blamed.end(), first, countsEach ? end : std::next(first));
    first = end;
  }
  return blamed;
}

/// Crashes that don't count are removed once all reports have arrived: what
/// else was lost at their time is forgotten later.
void
CrashRegister::UpdateBlame()
{
  for (auto& [fingerprint, request] : mRequests) {
    const bool settled = request.crashes.back().at + kSettled <= mNow;
    if (settled && request.blamed == request.crashes.size()) {
      continue;
    }
    Crashes blamed = BlamedCrashes(request);
    request.blamed = blamed.size();
    if (settled) {
      request.crashes = std::move(blamed);
    }
    Judge(request);
  }
}

void
CrashRegister::RecordRecent(const Crash& aCrash)
{
  std::erase_if(mRecent, [&](const Crash& aOther) {
    return aOther.at + kRecent < mNow || aOther.process == aCrash.process;
  });
  mRecent.push_back(aCrash);
  if (mRecent.size() > kMaxRecent) {
    mRecent.pop_front();
  }
}

/// Keeps the order, and the latest crashes.
void
CrashRegister::Insert(Crashes& aCrashes, Crash aCrash)
{
  const auto later =
    std::find_if(aCrashes.begin(), aCrashes.end(), [&](const Crash& aOther) {
      return aOther.at > aCrash.at;
    });
  aCrashes.insert(later, std::move(aCrash));
  if (aCrashes.size() > kMaxRemembered) {
    aCrashes.erase(aCrashes.begin());
  }
}

WallTime
CrashRegister::VerdictEnd(const Request& aRequest)
{
  const WallTime last = aRequest.crashes.back().at;
  return aRequest.blamed > 1 ? std::max(aRequest.bannedUntil, last) + kMemory
                             : last + kWatchFirst;
}

void
CrashRegister::UpdateVerdictsEnd()
{
  mVerdictsEnd = {};
  for (const auto& [fingerprint, request] : mRequests) {
    mVerdictsEnd = std::max(mVerdictsEnd, VerdictEnd(request));
  }
}

void
CrashRegister::RecordInterruption(const wire::InterruptedRequest& aInterruption)
{
  Crash crash;
  crash.process = FromMessage(aInterruption);
  crash.at = mNow - milliseconds{ aInterruption.ended_ms_ago() };
  crash.sentAt = mNow - milliseconds{ aInterruption.sent_ms_ago() };
  RecordRecent(crash);
  Request& request = mRequests[aInterruption.fingerprint()];
  request.service = aInterruption.service();
  const bool known = std::any_of(
    request.crashes.begin(), request.crashes.end(), [&](const Crash& aOther) {
      return aOther.process == crash.process;
    });
  if (known) {
    return;
  }
  Insert(request.crashes, std::move(crash));
  request.blamed = BlamedCrashes(request).size();
  Judge(request);
  if (mRequests.size() > kMaxRequests) {
    RemoveOldest();
  }
}

void
CrashRegister::OnEnded(const UpstreamProcessId& aProcess)
{
  for (auto& [fingerprint, request] : mRequests) {
    for (Crash& crash : request.crashes) {
      crash.confirmed |= crash.process.instance == aProcess.instance &&
                         crash.process.incarnation <= aProcess.incarnation;
    }
    Judge(request);
  }
  UpdateVerdictsEnd();
}

void
CrashRegister::Confirm(const UpstreamProcessId& aProcess)
{
  for (auto& [fingerprint, request] : mRequests) {
    for (Crash& crash : request.crashes) {
      crash.confirmed |= crash.process == aProcess;
    }
    Judge(request);
  }
}

void
CrashRegister::Withdraw(const UpstreamProcessId& aProcess)
{
  std::erase_if(
    mRecent, [&](const Crash& aCrash) { return aCrash.process == aProcess; });
  for (auto& [fingerprint, request] : mRequests) {
    const size_t withdrawn =
      std::erase_if(request.crashes, [&](const Crash& aCrash) {
        return aCrash.process == aProcess && !aCrash.confirmed;
      });
    if (withdrawn > 0) {
      request.bannedUntil = {};
      request.blamed = BlamedCrashes(request).size();
    }
  }
  std::erase_if(mRequests,
                [](const auto& aItem) { return aItem.second.crashes.empty(); });
}

void
CrashRegister::Judge(Request& aRequest)
{
  const auto confirmed =
    std::count_if(aRequest.crashes.begin(),
                  aRequest.crashes.end(),
                  [](const Crash& aCrash) { return aCrash.confirmed; });
  const bool guilty = aRequest.blamed >= kMaxCrashes &&
                      static_cast<size_t>(confirmed) >= kMinConfirmed;
  // After a ban, only one more crash leads to the next one.
  if (guilty && aRequest.bannedUntil < aRequest.crashes.back().at) {
    aRequest.bannedUntil = aRequest.crashes.back().at + kBan;
  }
}

void
CrashRegister::RemoveExpired()
{
  std::erase_if(mRequests, [&](const auto& aItem) {
    const Request& request = aItem.second;
    return std::max(request.bannedUntil, request.crashes.back().at) + kMemory <
           mNow;
  });
}

/// Bans are kept as long as there are other requests.
void
CrashRegister::RemoveOldest()
{
  const auto age = [](const auto& aItem) {
    return std::pair(aItem.second.bannedUntil, aItem.second.crashes.back().at);
  };
  mRequests.erase(std::min_element(mRequests.begin(),
                                   mRequests.end(),
                                   [&](const auto& aOne, const auto& aOther) {
                                     return age(aOne) < age(aOther);
                                   }));
}

RequestVerdict
CrashRegister::Verdict(const std::string& aFingerprint, WallTime aNow) const
{
  const auto found = mRequests.find(aFingerprint);
  if (found == mRequests.end()) {
    return RequestVerdict::Free;
  }
  const Request& request = found->second;
  const WallTime last = request.crashes.back().at;
  if (aNow < request.bannedUntil) {
    return RequestVerdict::Banned;
  }
  if (request.blamed >= kMaxCrashes && request.bannedUntil < last &&
      aNow < last + kMaxHold) {
    return RequestVerdict::Held;
  }
  return aNow < VerdictEnd(request) ? RequestVerdict::Watched
                                    : RequestVerdict::Free;
}

WallTime
CrashRegister::BannedUntil(const std::string& aFingerprint) const
{
  const auto found = mRequests.find(aFingerprint);
  return found == mRequests.end() ? WallTime{} : found->second.bannedUntil;
}

std::vector<UpstreamProcessId>
CrashRegister::Unconfirmed() const
{
  std::set<UpstreamProcessId> processes;
  for (const auto& [fingerprint, request] : mRequests) {
    for (const Crash& crash : request.crashes) {
      if (!crash.confirmed) {
        processes.insert(crash.process);
      }
    }
  }
  return { processes.begin(), processes.end() };
}

std::vector<wire::SuspectRequest>
CrashRegister::Bans(WallTime aNow) const
{
  std::vector<wire::SuspectRequest> bans;
  for (const auto& [fingerprint, request] : mRequests) {
    if (aNow < request.bannedUntil) {
      bans.push_back(ToMessage(fingerprint, request));
    }
  }
  return bans;
}

wire::SuspectRequest
CrashRegister::ToMessage(const std::string& aFingerprint,
                         const Request& aRequest)
{
  wire::SuspectRequest message;
  message.set_service(aRequest.service);
  message.set_fingerprint(aFingerprint);
  message.set_banned_until_ms(ToUnixMs(aRequest.bannedUntil));
  for (const Crash& crash : aRequest.crashes) {
    ToRecord(crash, *message.add_crashes());
  }
  return message;
}

void
CrashRegister::ToRecord(const Crash& aCrash, wire::RecordedCrash& aRecord)
{
  aRecord.set_instance(aCrash.process.instance);
  aRecord.set_life(aCrash.process.incarnation);
  aRecord.set_at_ms(ToUnixMs(aCrash.at));
  aRecord.set_confirmed(aCrash.confirmed);
  aRecord.set_sent_at_ms(ToUnixMs(aCrash.sentAt));
}

/// Earlier builds recorded no sending, and only crashes that count.
CrashRegister::Crash
CrashRegister::FromRecord(const wire::RecordedCrash& aRecord)
{
  const int64_t sentAt =
    aRecord.sent_at_ms() == 0 ? aRecord.at_ms() : aRecord.sent_at_ms();
  return { FromMessage(aRecord),
           FromUnixMs(aRecord.at_ms()),
           aRecord.confirmed(),
           FromUnixMs(sentAt) };
}

void
CrashRegister::Save(wire::GatewayState& aState) const
{
  for (const auto& [fingerprint, request] : mRequests) {
    *aState.add_suspects() = ToMessage(fingerprint, request);
  }
  for (const Crash& crash : mRecent) {
    ToRecord(crash, *aState.add_recent_crashes());
  }
}

void
CrashRegister::Load(const wire::GatewayState& aState)
{
  mRequests.clear();
  mRecent.clear();
  for (const wire::RecordedCrash& crash : aState.recent_crashes()) {
    mRecent.push_back(FromRecord(crash));
  }
  for (const wire::SuspectRequest& saved : aState.suspects()) {
    if (saved.crashes().empty()) {
      continue;
    }
    Request& request = mRequests[saved.fingerprint()];
    request.service = saved.service();
    request.bannedUntil = FromUnixMs(saved.banned_until_ms());
    for (const wire::RecordedCrash& crash : saved.crashes()) {
      request.crashes.push_back(FromRecord(crash));
    }
    request.blamed = BlamedCrashes(request).size();
  }
  UpdateVerdictsEnd();
}

} // namespace rattandyke::gateway

#include "gateway/crash_register.h"

#include <algorithm>
#include <set>

namespace rattandyke::gateway {

namespace {

using std::chrono::milliseconds;

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
  UpdateVerdictsEnd();
}

WallTime
CrashRegister::VerdictEnd(const Request& aRequest)
{
  const WallTime last = aRequest.crashes.back().at;
  return aRequest.crashes.size() > 1
           ? std::max(aRequest.bannedUntil, last) + kMemory
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
  const UpstreamProcessId process = FromMessage(aInterruption);
  Request& request = mRequests[aInterruption.fingerprint()];
  request.service = aInterruption.service();
  std::vector<Crash>& crashes = request.crashes;
  const bool known =
    std::any_of(crashes.begin(), crashes.end(), [&](const Crash& aCrash) {
      return aCrash.process == process;
    });
  const WallTime sentAt = mNow - milliseconds{ aInterruption.sent_ms_ago() };
  if (known || (!crashes.empty() && sentAt < crashes.back().at + kMinSpacing)) {
    return;
  }
  crashes.push_back({ process, mNow });
  if (crashes.size() > kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
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
  for (auto& [fingerprint, request] : mRequests) {
    const size_t withdrawn =
      std::erase_if(request.crashes, [&](const Crash& aCrash) {
        return aCrash.process == aProcess && !aCrash.confirmed;
      });
    if (withdrawn > 0) {
      request.bannedUntil = {};
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
  const bool guilty = aRequest.crashes.size() >= kMaxCrashes &&
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
  if (request.crashes.size() >= kMaxCrashes && request.bannedUntil < last &&
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
    wire::RecordedCrash* recorded = message.add_crashes();
    recorded->set_instance(crash.process.instance);
    recorded->set_life(crash.process.incarnation);
    recorded->set_at_ms(ToUnixMs(crash.at));
    recorded->set_confirmed(crash.confirmed);
  }
  return message;
}

void
CrashRegister::Save(wire::GatewayState& aState) const
{
  for (const auto& [fingerprint, request] : mRequests) {
    *aState.add_suspects() = ToMessage(fingerprint, request);
  }
}

void
CrashRegister::Load(const wire::GatewayState& aState)
{
  mRequests.clear();
  for (const wire::SuspectRequest& saved : aState.suspects()) {
    if (saved.crashes().empty()) {
      continue;
    }
    Request& request = mRequests[saved.fingerprint()];
    request.service = saved.service();
    request.bannedUntil = FromUnixMs(saved.banned_until_ms());
    for (const wire::RecordedCrash& crash : saved.crashes()) {
      request.crashes.push_back(
        { FromMessage(crash), FromUnixMs(crash.at_ms()), crash.confirmed() });
    }
  }
  UpdateVerdictsEnd();
}

} // namespace rattandyke::gateway

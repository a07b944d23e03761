/// Requests that were in progress at upstreams when these crashed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "gateway/upstream_process.h"
#include "wire/gateway.pb.h"

namespace rattandyke::gateway {

/// What is known of a request.
enum class RequestVerdict : uint8_t
{
  /// No crash is known, or an upstream has answered it since.
  Free,
  /// It may be sent. That an upstream has answered it must be reported.
  Watched,
  /// It is not sent until it is known whether the upstreams have crashed.
  Held,
  /// It crashes upstreams and is not sent.
  Banned
};

/// Finds requests that crash the upstreams that run them. Part of State: the
/// same commands have the same result on all hosts. Does no I/O. Not
/// thread-safe.
///
/// A request is blamed for several crashes with no answer to it in between. A
/// request that many callers send is in progress at many upstreams when these
/// are lost, but others answer it at once. One that is rare is sent again so
/// often only if it keeps failing.
///
/// Crashes within a moment count one by one only if the request was in progress
/// at every upstream that was lost then, and if each sending began after the
/// crash before. Otherwise something else may have ended the upstreams
/// together, such as the loss of a data centre, and they count once.
class CrashRegister
{
public:
  /// Crashes after which a request is no longer sent.
  static constexpr size_t kMaxCrashes = 3;
  /// Of these, crashes that must be confirmed for a ban.
  static constexpr size_t kMinConfirmed = 2;
  /// A sending that begins this soon after a crash belongs to the same moment.
  /// Answers of other upstreams arrive in this time.
  static constexpr std::chrono::milliseconds kMoment{ 300 };
  /// Crashes of a request that are remembered.
  static constexpr size_t kMaxRemembered = 8;
  /// Crashes with any request in progress that are remembered, and for how
  /// long.
  static constexpr size_t kMaxRecent = 256;
  static constexpr std::chrono::seconds kRecent{ 10 };
  /// Time for which a request is watched after its first crash.
  static constexpr std::chrono::seconds kWatchFirst{ 10 };
  static constexpr std::chrono::seconds kMaxHold{ 10 };
  static constexpr std::chrono::hours kBan{ 1 };
  /// Time for which a request is remembered after its last crash, or after its
  /// ban: one more crash within it leads to a ban again.
  static constexpr std::chrono::minutes kMemory{ 10 };
  /// Requests that are remembered, in about 500 KB.
  static constexpr size_t kMaxRequests = 1024;

  /// @param aMayCrash bool(instance): whether the end of its connections may
  /// mean that the upstream has crashed.
  void Apply(const wire::RecordCrashes& aCommand,
             const std::function<bool(const std::string&)>& aMayCrash);

  /// A process of an upstream, and all before it, have ended.
  void OnEnded(const UpstreamProcessId& aProcess);

  RequestVerdict Verdict(const std::string& aFingerprint, WallTime aNow) const;

  /// @return when a ban ends.
  WallTime BannedUntil(const std::string& aFingerprint) const;

  /// @return whether any request's verdict may be another one than Free.
  bool HasVerdicts(WallTime aNow) const { return aNow < mVerdictsEnd; }

  bool IsEmpty() const { return mRequests.empty(); }

  /// @return the processes of which it is not known whether they have crashed.
  std::vector<UpstreamProcessId> Unconfirmed() const;

  /// @return the requests that are banned now.
  std::vector<wire::SuspectRequest> Bans(WallTime aNow) const;

  bool Contains(const std::string& aFingerprint) const
  {
    return mRequests.contains(aFingerprint);
  }

  void Save(wire::GatewayState& aState) const;
  void Load(const wire::GatewayState& aState);

private:
  struct Crash
  {
    UpstreamProcessId process;
    WallTime at{};
    bool confirmed = false;
    /// When the request that was in progress had been sent.
    WallTime sentAt{};
  };
  struct Request
  {
    std::string service;
    /// In the order of their times, each of another process.
    std::vector<Crash> crashes;
    WallTime bannedUntil{};
    /// Crashes that the request is blamed for.
    size_t blamed = 0;
  };
  using Crashes = std::vector<Crash>;
  using CrashIterator = Crashes::const_iterator;

  static Crash FromRecord(const wire::RecordedCrash& aRecord);
  static void ToRecord(const Crash& aCrash, wire::RecordedCrash& aRecord);
  /// @return the end of the moment that begins with a crash.
  static CrashIterator MomentEnd(CrashIterator aFirst, CrashIterator aEnd);
  /// @return whether the request was in progress at every upstream that was
  /// lost about the time of a moment.
  bool ExplainsMoment(const Request& aRequest,
                      CrashIterator aFirst,
                      CrashIterator aEnd) const;
  /// @return the crashes that the request is blamed for.
  Crashes BlamedCrashes(const Request& aRequest) const;
  void UpdateBlame();
  void RecordRecent(const Crash& aCrash);

  /// @return when the verdict becomes Free, unless there is another crash.
  static WallTime VerdictEnd(const Request& aRequest);
  void UpdateVerdictsEnd();
  static wire::SuspectRequest ToMessage(const std::string& aFingerprint,
                                        const Request& aRequest);
  void RecordInterruption(const wire::InterruptedRequest& aInterruption);
  static void Insert(Crashes& aCrashes, Crash aCrash);
  void Confirm(const UpstreamProcessId& aProcess);
  /// The process lives: its crash was none.
  void Withdraw(const UpstreamProcessId& aProcess);
  /// Bans the request if there is enough evidence.
  void Judge(Request& aRequest);
  void RemoveExpired();
  void RemoveOldest();

  /// Time of the last command.
  WallTime mNow{};
  /// The latest VerdictEnd().
  WallTime mVerdictsEnd{};
  /// By fingerprint.
  std::map<std::string, Request> mRequests;
  /// Latest crash of each process with any request in progress, oldest first.
  std::deque<Crash> mRecent;
};

} // namespace rattandyke::gateway

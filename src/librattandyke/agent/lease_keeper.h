/// Decisions of a home about the upstreams that announce themselves to it.
/// No I/O.
#pragma once

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include <rattandyke/types.h>

#include "agent/announcement.h"
#include "agent/charge.h"
#include "routing/routing_table.h"
#include "wire/peer.pb.h"

namespace rattandyke::agent {

/// What LeaseKeeper is told.
struct AnnouncementReceived
{
  /// Given back with the answer.
  uint64_t id = 0;
  Announcement announcement;
};
struct TableArrived
{
  std::shared_ptr<const routing::RoutingTable> table;
  routing::ChangedGrants touched;
};
/// The leader answered a heartbeat: its reports are taken, and the host's own
/// lease holds until leaseUntil.
struct HeartbeatAnswered
{
  uint64_t sequence = 0;
  Instant leaseUntil;
};
/// Some control host answered, though it does not lead.
struct ControlAnswered
{};
/// Due every LeaseKeeper::kTimerInterval.
struct KeeperTimer
{};
/// Graceful shutdown began.
struct KeeperLeaves
{};
using LeaseKeeperEvent = std::variant<AnnouncementReceived,
                                      TableArrived,
                                      HeartbeatAnswered,
                                      ControlAnswered,
                                      KeeperTimer,
                                      KeeperLeaves>;

/// What LeaseKeeper asks for: the answer to one announcement, once each.
struct AnswerAnnouncement
{
  uint64_t id = 0;
  AnnounceAnswer answer;
};

/// Keeps the leases of announced upstreams; docs/design/leases.md gives the
/// rules. State machine; not thread-safe.
class LeaseKeeper
{
public:
  using Effects = std::vector<AnswerAnnouncement>;
  static constexpr std::chrono::milliseconds kTimerInterval{ 10 };

  struct Options
  {
    HostName self;
    Duration hostLease = std::chrono::milliseconds(800);
    std::chrono::milliseconds upstreamLease{ 800 };
    std::chrono::milliseconds announceInterval{ 150 };
    /// Pause while an upstream waits to be registered.
    std::chrono::milliseconds registerInterval{ 50 };
    /// Two hosts' clocks run at the same rate to within this share.
    double driftBound = 0.01;
    /// Without a sign of any control host for this long, upstreams are sent
    /// elsewhere while their leases still live.
    Duration cutOffAfter = std::chrono::milliseconds(400);
    /// The same if control hosts answer but none leads: other hosts are no
    /// better off then.
    Duration leaderlessAfter = std::chrono::milliseconds(1500);
    /// Bounds the memory that announcements can take.
    size_t mostCharges = 65536;
  };

  explicit LeaseKeeper(Options aOptions);

  Effects Step(const LeaseKeeperEvent& aEvent, Instant aNow);

  /// @param aSequence of the heartbeat that carries the reports. All upstreams
  /// are in every heartbeat: the leader takes one that is missing for lost.
  std::vector<wire::UpstreamReport> Reports(uint64_t aSequence, Instant aNow);

  /// @return how many processes of upstreams are known.
  size_t Size() const { return mCharges.size(); }

private:
  struct Key
  {
    routing::UpstreamId id;
    uint64_t incarnation = 0;
    auto operator<=>(const Key&) const = default; // NOLINT(*-nullptr)
  };
  using Charges = std::map<Key, Charge>;

  void On(const AnnouncementReceived& aEvent, Instant aNow, Effects& aEffects);
  void On(const TableArrived& aEvent, Instant aNow, Effects& aEffects);
  void On(const HeartbeatAnswered& aEvent, Instant aNow, Effects& aEffects);
  void On(const ControlAnswered& aEvent, Instant aNow, Effects& aEffects);
  void On(const KeeperTimer& aEvent, Instant aNow, Effects& aEffects);
  void On(const KeeperLeaves& aEvent, Instant aNow, Effects& aEffects);

  /// @return the answer that refuses it; nothing if this host may take it.
  std::optional<AnnounceAnswer> Refusal(const Key& aKey,
                                        const Announcement& aAnnouncement,
                                        Instant aNow) const;
  std::optional<AnnounceAnswer> RefusalOfHost(const Announcement& aAnnouncement,
                                              Instant aNow) const;
  std::optional<AnnounceAnswer> RefusalOfProcess(
    const Key& aKey,
    const Announcement& aAnnouncement) const;
  Charge& Admit(const Key& aKey,
                const Announcement& aAnnouncement,
                Instant aNow);
  void SupersedeOthers(const Key& aKey);
  /// Lets a lapsed upstream that is back ask for a new registration.
  static void Revive(Charge& aCharge);

  const routing::UpstreamView* ViewOf(const Key& aKey) const;
  bool IsSupersededBy(const routing::UpstreamView* aView,
                      const Key& aKey,
                      TableVersion aLastSign) const;
  /// @return whether the table names this host as the home of this process,
  /// by a registration that counts.
  bool IsOurs(const Key& aKey, const Charge& aCharge) const;
  bool IsRenewable(const Key& aKey, const Charge& aCharge, Instant aNow) const;
  bool IsOverdue(const Charge& aCharge, Instant aNow) const;
  bool IsCutOff(Instant aNow) const;
  /// @return whether nothing that this host or an earlier home gave can live,
  /// and no renewal is to be expected.
  bool IsLeaseOver(const Charge& aCharge, Instant aNow) const;
  Duration Lengthened(Duration aWait) const;

  void AnswerOrHold(const Key& aKey,
                    Charge& aCharge,
                    uint64_t aId,
                    Instant aNow,
                    Effects& aEffects);
  void AnswerHeld(const Key& aKey,
                  Charge& aCharge,
                  Instant aNow,
                  Effects& aEffects);
  bool HasNews(const Key& aKey, const Charge& aCharge, Instant aNow) const;
  AnnounceAnswer AnswerTo(const Key& aKey,
                          Charge& aCharge,
                          Instant aReceived,
                          Instant aNow);
  void AnswerDue(Instant aNow, Effects& aEffects);

  void FollowTable(const Key& aKey, Charge& aCharge, Instant aNow);
  void RefreshGrants(const routing::ChangedGrants& aTouched, Instant aNow);
  /// Moves a charge on when its lease is over.
  /// @return false if it is of no more interest.
  bool CheckLapse(const Key& aKey, Charge& aCharge, Instant aNow);
  void CheckLapses(Instant aNow, Effects& aEffects);

  Options mOptions;
  std::shared_ptr<const routing::RoutingTable> mTable;
  Charges mCharges;
  Instant mLeaseUntil;
  std::optional<Instant> mControlHeard;
  uint64_t mAnswered = 0;
  bool mLeaving = false;
  /// Version of the first table of this process; see IsOurs.
  std::optional<TableVersion> mFirstTable;
};

} // namespace rattandyke::agent

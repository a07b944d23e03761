#include <algorithm>

#include "testing/control_world.h"

// The model of an upstream, by the rules of docs/PROTOCOL.md.

namespace rattandyke::testing {

namespace {

using Ms = std::chrono::milliseconds;

constexpr Ms kAnswerTimeout{ 300 };
constexpr Ms kUnknownServicePause{ 1000 };
constexpr Ms kHold{ 100 };
constexpr uint16_t kFirstPort = 8000;

} // namespace

void
ControlWorld::Announce(size_t aAt)
{
  ModelUpstream& upstream = *mUpstreams[aAt];
  agent::Announcement announcement;
  announcement.service = ServiceName{ kWorldService };
  announcement.name = UpstreamName{ upstream.name };
  announcement.incarnation = upstream.incarnation;
  announcement.address = { "127.0.0.1",
                           static_cast<uint16_t>(kFirstPort + aAt) };
  announcement.slots = 2;
  announcement.checksFences = upstream.checksFences;
  announcement.draining = upstream.draining;
  announcement.grantsVersion = TableVersion{ upstream.applied };
  announcement.hold = kHold;
  const uint64_t number = ++upstream.number;
  upstream.sentAt = mNetwork.Local(upstream.node);
  ModelHost& home = *mHosts[upstream.home];
  mNetwork.Send(
    upstream.node, home.node, [this, &home, aAt, number, announcement] {
      OnAnnouncement(home, aAt, number, announcement);
    });
  mNetwork.After(upstream.node, kAnswerTimeout, [this, aAt, number] {
    // Unanswered: try the next host.
    ModelUpstream& late = *mUpstreams[aAt];
    if (late.number == number && !late.answered) {
      late.home = (late.home + 1) % mHosts.size();
      Announce(aAt);
    }
  });
  upstream.answered = false;
}

void
ControlWorld::OnAnswer(size_t aAt,
                       uint64_t aNumber,
                       const agent::AnnounceAnswer& aAnswer)
{
  ModelUpstream& upstream = *mUpstreams[aAt];
  if (upstream.number != aNumber || upstream.answered) {
    return;
  }
  upstream.answered = true;
  Duration pause = aAnswer.nextAnnounce;
  if (aAnswer.code == Code::LeaseUnavailable) {
    upstream.home = (upstream.home + 1) % mHosts.size();
    pause = Ms{ 1 };
  } else if (aAnswer.code == Code::UnknownService) {
    pause = kUnknownServicePause;
  } else if (aAnswer.code != Code::Ok) {
    // A newer process has its name: it stops for good.
    upstream.grants.clear();
    return;
  }
  if (aAnswer.code == Code::Ok) {
    TakeGrants(upstream, aAnswer);
    if (aAnswer.lease.count() > 0) {
      upstream.leaseEnd =
        std::max(upstream.leaseEnd, upstream.sentAt + aAnswer.lease);
    }
  }
  mNetwork.After(upstream.node, pause, [this, aAt, aNumber] {
    if (mUpstreams[aAt]->number == aNumber) {
      Announce(aAt);
    }
  });
}

void
ControlWorld::TakeGrants(ModelUpstream& aUpstream,
                         const agent::AnnounceAnswer& aAnswer)
{
  if (!aAnswer.grantsIncluded ||
      aAnswer.grantsVersion.value <= aUpstream.received) {
    return;
  }
  std::map<uint32_t, uint64_t> grants;
  for (const agent::Grant& grant : aAnswer.grants) {
    if (const auto* range = std::get_if<agent::SlotRangeGrant>(&grant)) {
      for (uint32_t at = range->first.value; at <= range->last.value; ++at) {
        grants[at] = range->fence.value;
      }
    }
  }
  for (const auto& [slot, fence] : aUpstream.grants) {
    const auto kept = grants.find(slot);
    if (kept == grants.end() || kept->second != fence) {
      aUpstream.closing.insert(slot);
    }
  }
  aUpstream.received = aAnswer.grantsVersion.value;
  aUpstream.grants = std::move(grants);
  TryAcknowledge(aUpstream);
}

void
ControlWorld::TryAcknowledge(ModelUpstream& aUpstream)
{
  std::erase_if(aUpstream.closing, [&](uint32_t aSlot) {
    return !aUpstream.running.contains(aSlot);
  });
  if (aUpstream.closing.empty() && !aUpstream.ignoresRevokes) {
    aUpstream.applied = aUpstream.received;
  }
}

} // namespace rattandyke::testing

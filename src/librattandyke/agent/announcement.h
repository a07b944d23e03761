/// What an upstream says when it announces itself, and what it is told.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include <rattandyke/result.h>
#include <rattandyke/types.h>

namespace rattandyke::agent {

/// One announcement, already checked against the ranges of docs/PROTOCOL.md.
struct Announcement
{
  ServiceName service;
  UpstreamName name;
  /// Random per process start of the upstream; never 0.
  uint64_t incarnation = 0;
  Endpoint address;
  DataCentre dataCentre;
  /// Requests it runs at once.
  uint32_t slots = 1;
  bool checksFences = false;
  bool draining = false;
  /// Newest grants it has applied; acknowledges every revocation up to it.
  TableVersion grantsVersion;
  /// How long the answer may be held until there are new grants.
  std::chrono::milliseconds hold{ 0 };
};

/// Consecutive slots that share one fence.
struct SlotRangeGrant
{
  Slot first;
  Slot last;
  Fence fence;
  bool operator==(const SlotRangeGrant&) const = default;
};

/// A single key. A fence of 0 takes the key out of a granted slot.
struct KeyGrant
{
  std::string key;
  Fence fence;
  bool operator==(const KeyGrant&) const = default;
};

using Grant = std::variant<SlotRangeGrant, KeyGrant>;

/// Answer to one announcement.
struct AnnounceAnswer
{
  /// Ok, or the reason of a refusal; then only message is meaningful besides.
  Code code = Code::Ok;
  std::string message;
  /// Counted from when the upstream sent the announcement. Zero: no lease now.
  std::chrono::milliseconds lease{ 0 };
  std::chrono::milliseconds nextAnnounce{ 150 };
  TableVersion grantsVersion;
  /// Whether grants is filled: all that the upstream holds.
  bool grantsIncluded = false;
  std::vector<Grant> grants;
  /// Where other hosts take announcements.
  std::vector<Endpoint> hosts;
};

} // namespace rattandyke::agent

/// Stand-ins of realistic size for messages and tables.
#pragma once

#include <string>

#include "wire/peer.pb.h"

namespace rattandyke::capacity {

/// Name of the one service of the stand-ins.
inline constexpr const char* kService = "field-limits";

/// @return names as long as those of a large deployment.
std::string HostText(size_t aNumber);
std::string UpstreamText(size_t aNumber);
std::string KeyText(size_t aNumber);

/// @return the service's record with this many slots.
wire::Record ServiceRecordOf(size_t aSlots);

wire::Upstream UpstreamOf(size_t aNumber);

/// @param aOwner number of the owning upstream.
wire::SlotOwner SlotOwnerOf(size_t aSlot, size_t aOwner);

wire::SlotOwner HotKeyOwnerOf(size_t aNumber, size_t aOwner);

/// @return a complete table: each upstream owns as many neighbouring slots.
wire::TableUpdate FullTable(size_t aUpstreams,
                            size_t aSlotsEach,
                            size_t aHotKeys);

/// @return an idle entry's heartbeat.
wire::Heartbeat IdleHeartbeat();

/// @return a heartbeat's reply that renews a lease and changes nothing.
wire::HeartbeatReply IdleReply();

wire::UpstreamReport ReportOf(size_t aNumber);

wire::UpstreamEvidence EvidenceOf(size_t aNumber);

wire::SlotLoad SlotLoadOf(size_t aSlot);

wire::KeyLoad KeyLoadOf(size_t aNumber);

} // namespace rattandyke::capacity

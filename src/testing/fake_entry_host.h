/// A host for the entry role, without control hosts: a table set by the test.
#pragma once

#include <atomic>
#include <mutex>

#include "http/entry_host.h"

namespace rattandyke::testing {

/// Holds a routing table of one service "board" with prefix "/board", the key
/// in the second path segment, and one upstream that owns every slot.
/// Thread-safe.
class FakeEntryHost final : public http::EntryHost
{
public:
  FakeEntryHost();

  /// Brings a newer table into force in which this upstream owns every key.
  void SetOwner(const Endpoint& aAddress,
                uint32_t aSlots = 4,
                bool aChecksFences = true);
  /// Brings a newer table into force in which no key has an owner.
  void Release();
  /// Changes the service's record; fields as in docs/PROTOCOL.md.
  void SetRecord(const std::string& aBodyJson);
  void SetLease(bool aValid) { mLease = aValid; }

  /// Evidence reported so far.
  std::vector<agent::EvidenceKind> Evidence() const;

  std::shared_ptr<const routing::RoutingTable> Table() const override;
  bool TableLeaseValid(Instant aNow) const override { return mLease; }
  agent::InFlightVersions& InFlight() override { return mInFlight; }
  void ReportEvidence(const agent::Evidence& aEvidence) override;
  void CountRequest(std::string_view, Slot, std::string_view) override {}
  /// Answers claims from a register in memory, and grants every trial.
  void Call(wire::CallRequest aRequest,
            Duration aTimeout,
            agent::LeaderCalls::Callback aDone) override;
  metrics::Recorder& Metrics() override { return mMetrics; }
  /// Its upstreams have no home, so nothing is sent.
  void Send(const HostName&, wire::Envelope) override {}

private:
  struct ClaimState
  {
    uint64_t claim = 0;
    std::string digest;
    bool done = false;
    bool unknown = false;
    wire::StoredAnswer answer;
  };

  void Apply(wire::TableUpdate aUpdate);
  wire::CallReply Settle(const wire::CallRequest& aRequest);
  wire::CallReply Claim(const wire::ClaimCall& aCall);

  mutable std::mutex mMutex;
  std::shared_ptr<const routing::RoutingTable> mTable;
  uint64_t mVersion = 0;
  uint64_t mIncarnation = 0;
  std::vector<agent::EvidenceKind> mEvidence;
  std::map<std::string, ClaimState> mClaims;
  std::atomic<bool> mLease{ true };
  agent::InFlightVersions mInFlight;
  metrics::Recorder mMetrics;
};

} // namespace rattandyke::testing

/// The size that the capacity page is about, and what it is compared with.
#pragma once

namespace rattandyke::capacity {

/// The users' first letter.
struct TargetSize
{
  double nodes = 18000;
  double keys = 19e9;
  double requestsPerSecond = 58e6;
  double regions = 8;
  double dataCentres = 28;
  double changesPerDay = 92000;
  double hotKeys = 500;
  double failuresPerDay = 64;
  double restartsPerDay = 940;
};

/// The letter's limits, a node unless said otherwise.
struct Limits
{
  double controlCores = 0.038;
  double controlBytes = 32e6;
  double controlBytesPerSecond = 5000;
  double controlHosts = 20;
  double everywhereSeconds = 5;
  double servedAgainSeconds = 3;
  double latencySeconds = 0.012;
};

/// What the letter leaves open; each is named as an assumption on the page.
struct Assumptions
{
  /// Busiest hour of changes over the mean.
  double peakOverMean = 10;
  /// Owned hash ranges an upstream, as in the figure of the full table.
  double slotsPerUpstream = 16;
  /// Upstreams for each entry host: 36 targets on 8 to 11 hosts today.
  double upstreamsPerEntry = 3;
  /// Minutes within which all the hottest keys have changed.
  double hotKeyMinutes = 5;
  /// Share of requests that take a claim before they run.
  double claimShare = 0.1;
  /// How long a claim is kept: the service record's default.
  double claimSeconds = 600;
  double rackNodes = 40;
  /// A control host's network: 10 Gbit/s.
  double linkBytesPerSecond = 1.25e9;
  /// How long regions lose each other.
  double partedSeconds = 300;
  /// TCP and IPv4 header with timestamps; one segment for each small message,
  /// and one bare acknowledgement for it.
  double segmentHeaderBytes = 52;
};

/// The design on paper: regional groups and what they ask of hosts.
struct Proposal
{
  double heartbeatsPerSecond = 3;
  double hostLeaseSeconds = 0.8;
  /// Longer than two pauses, so that one announcement may be lost.
  double upstreamLeaseSeconds = 1.3;
  double announceSeconds = 0.6;
  /// Changes of records wait for each other this long.
  double pushSeconds = 1;
  /// Loads of slots and keys are told this often.
  double loadSeconds = 10;
  /// Stands for reports or lists that have not changed.
  double digestBytes = 8;
  /// Between the farthest regions; assumed.
  double regionRoundTripSeconds = 0.3;
  double spareHosts = 4;
};

} // namespace rattandyke::capacity

/// Bounds of the callers' server and of connections to upstreams.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace rattandyke::http {

struct Limits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 4ULL << 30;
  /// Callers' connections; one more is closed at once.
  uint32_t maxConnections = 20000;
  /// A body up to this size is read before the request starts, so that a slow
  /// caller holds no slot and the request can be sent again.
  size_t maxReplayBytes = size_t{ 64 } * 1024;
  /// Bytes of one direction of a stream that are held at once.
  size_t streamBufferBytes = size_t{ 64 } * 1024;
  /// Largest answer body kept for resends with an Idempotency-Key.
  size_t maxStoredAnswerBytes = size_t{ 16 } * 1024;
  /// Idle connections kept to one upstream.
  uint32_t maxIdlePerUpstream = 4;

  /// From a request's first byte to the end of its head.
  std::chrono::milliseconds headTime{ 10000 };
  /// Between two requests of one connection.
  std::chrono::milliseconds idleTime{ 60000 };
  /// Longest silence of a caller in a body, or of a caller that does not read.
  std::chrono::milliseconds callerStall{ 10000 };
  /// Longest silence of an upstream within an answer's body.
  std::chrono::milliseconds answerStall{ 30000 };
  std::chrono::milliseconds connectTime{ 1000 };
  /// How long an upstream's connection is kept idle.
  std::chrono::milliseconds upstreamIdleTime{ 5000 };
  /// A non-idempotent request goes only on a connection that was used so
  /// lately that the upstream is unlikely to be closing it.
  std::chrono::milliseconds upstreamFreshTime{ 1000 };
  /// How long a closing connection is read after a refusal, so that the
  /// refusal is not lost to a reset.
  std::chrono::milliseconds lingerTime{ 1000 };
};

} // namespace rattandyke::http

/// What single requests show of an upstream's health.
#pragma once

#include <string_view>

#include <rattandyke/types.h>

namespace rattandyke::agent {

/// How one request, or one shared probe, ended.
enum class EvidenceKind
{
  Succeeded,
  Failed,
  /// No connection could be made, or it broke before anything was sent.
  Unreachable,
  /// Refused as too busy.
  Shed
};

/// One observation of an upstream.
struct Evidence
{
  std::string_view service;
  std::string_view upstream;
  EvidenceKind kind = EvidenceKind::Succeeded;
  /// From sending the request to the end of the answer.
  Duration latency{};
};

} // namespace rattandyke::agent

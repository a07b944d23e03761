/// Behaviours of the stand-in upstream that can be changed while it runs.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <rattandyke/result.h>

namespace rattandyke::upstream {

/// How the upstream behaves, and misbehaves. Set by flags at the start and by
/// POST /-/mode afterwards.
struct Modes
{
  /// Share of requests answered 503 and not run.
  double shed = 0;
  /// Requests are taken and never begun; announcements and health go on.
  bool hang = false;
  /// The health page says "ok" and no load, whatever is true.
  bool lieInHealth = false;
  /// Keeps revoked grants and never acknowledges a newer version.
  bool ignoreRevoke = false;
  /// Runs a request whatever its fence, and says so when it announces itself.
  bool checkFences = true;
  /// Pause before each piece of an answer; zero sends it in one piece.
  std::chrono::milliseconds drip{ 0 };
  /// Share of answers that are cut by closing the connection half way.
  double dieMidAnswer = 0;
  /// A request whose target or body holds this text ends the process as soon
  /// as it runs; empty: none does.
  std::string crashMarker;
  /// Requests per second that it names as its limit in every answer; below 0:
  /// it names none.
  double rateLimit = -1;
  /// Retry-After of the requests that it sheds, in seconds; 0: none.
  double retryAfter = 0;
  /// Asks to be given no new work, as before a planned stop.
  bool drain = false;
};

/// @param aModes    behaviours to change.
/// @param aJsonText an object with the fields to change; others stay.
/// @return the changed behaviours, or Code::InvalidSettings.
Result<Modes> ChangeModes(Modes aModes, std::string_view aJsonText);

/// @return the behaviours as a JSON object, as ChangeModes reads it.
std::string ToJson(const Modes& aModes);

} // namespace rattandyke::upstream

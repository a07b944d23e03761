/// Command line of the stand-in upstream.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <rattandyke/types.h>

#include "upstream/modes.h"
#include "upstream/service_time.h"

namespace rattandyke::upstream {

struct Options
{
  ServiceName service;
  UpstreamName name;
  DataCentre dataCentre;
  /// Upstream ports of the hosts to announce to; at least one.
  std::vector<Endpoint> hosts;
  /// Port 0: the kernel picks one.
  Endpoint listen{ "127.0.0.1", 0 };
  uint32_t slots = 2;
  /// Requests that may wait for a slot; more are shed.
  uint32_t queue = 64;
  ServiceTimeOptions serviceTime;
  /// Payload of an answer, unless the request asks for another size.
  size_t answerBytes = 64;
  std::string recordFile;
  uint64_t seed = 1;
  Modes modes;
};

/// Reads the command line; on a wrong one, prints why and ends the process
/// with exit code 2.
Options ParseOptions(int aCount, const char* const* aArguments);

/// @return the address in "IP:PORT" text, or Code::InvalidSettings.
Result<Endpoint> ParseEndpoint(const std::string& aText);

} // namespace rattandyke::upstream

/// The ports that a host listens on.
#pragma once

#include <filesystem>

#include "server/service_options.h"

namespace rattandyke::server {

/// @return the address with a free port of the kernel's choice for port 0. The
/// agent tells upstreams' addresses before the listener for them exists.
Endpoint WithPort(Endpoint aEndpoint);

/// Writes ports.json into the data folder; renamed into place, so that a reader
/// never sees half a file.
bool WritePorts(const std::filesystem::path& aFolder,
                const Addresses& aAddresses);

} // namespace rattandyke::server

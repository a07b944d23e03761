/// Parts of the table of settings, one for each group of sections.
#pragma once

#include "config/table.h"

namespace rattandyke::config {

inline constexpr uint64_t kKiB = 1024;
inline constexpr uint64_t kMiB = 1024 * kKiB;
inline constexpr uint64_t kGiB = 1024 * kMiB;

std::vector<Setting> HostRows();

/// [listen], [hosts] and [control].
std::vector<Setting> ListenRows();

std::vector<Setting> LimitRows();

std::vector<Setting> LeaseRows();

std::vector<Setting> LogRows();

/// [tokens] and [curve].
std::vector<Setting> SecretRows();

} // namespace rattandyke::config

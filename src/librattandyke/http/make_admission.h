/// The admission plug-in that a service's record names.
#pragma once

#include <memory>

#include <rattandyke/admission.h>

#include "records/records.h"

namespace rattandyke::http {

/// @return the record's policy, or the default one if this host lacks it.
std::unique_ptr<admission::Admission> MakeAdmission(
  const records::ServiceRecord& aRecord,
  uint32_t aSlots);

} // namespace rattandyke::http

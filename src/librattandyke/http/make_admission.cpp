#include "http/make_admission.h"

#include "log/log.h"

namespace rattandyke::http {

namespace {

constexpr std::string_view kDefaultPolicy = "fair";

} // namespace

std::unique_ptr<admission::Admission>
MakeAdmission(const records::ServiceRecord& aRecord, uint32_t aSlots)
{
  admission::Settings settings;
  settings.slots = aSlots;
  settings.maxQueueTime = aRecord.maxQueueTime;
  auto made =
    admission::AdmissionRegistry::Make(aRecord.admissionPolicy, settings);
  if (!made) {
    // Records are checked when submitted; a host of another version may still
    // not know the policy, and refusing every request would be worse.
    log::Line(log::Part::Entry, log::Severity::Warning)
      << made.error().message << " Service " << aRecord.name.value << " uses '"
      << kDefaultPolicy << "'.";
    made = admission::AdmissionRegistry::Make(kDefaultPolicy, settings);
  }
  return std::move(made.value());
}

} // namespace rattandyke::http

#include "gateway/call_names.h"

#include "base/identifier.h"

namespace rattandyke::gateway {

namespace {

/// Checks one name after the other and keeps the first error.
class NameChecker
{
public:
  NameChecker& Identifier(std::string_view aText, std::string_view aField)
  {
    if (mChecked) {
      mChecked = CheckIdentifier(aText, aField);
    }
    return *this;
  }

  NameChecker& Text(std::string_view aText,
                    std::string_view aField,
                    size_t aMaxBytes)
  {
    if (mChecked) {
      mChecked = CheckText(aText, aField, aMaxBytes);
    }
    return *this;
  }

  const Result<void>& Checked() const { return mChecked; }

private:
  Result<void> mChecked;
};

/// Visitor of a call.
struct CallChecker
{
  Result<void> operator()(const Heartbeat& aHeartbeat) const
  {
    NameChecker names;
    names.Identifier(aHeartbeat.instance, "id")
      .Identifier(aHeartbeat.service, "service")
      .Identifier(aHeartbeat.address, "address")
      .Identifier(aHeartbeat.dataCentre, "data centre")
      .Text(aHeartbeat.version, "version", kMaxIdentifierBytes);
    for (const ReleasedRange& range : aHeartbeat.released) {
      names.Text(range.handover, "handover", kMaxIdentifierBytes);
    }
    return names.Checked();
  }

  Result<void> operator()(const Deregistration& aDeregistration) const
  {
    return CheckIdentifier(aDeregistration.instance, "id");
  }

  Result<void> operator()(const wire::ChangeItems& aChange) const
  {
    NameChecker names;
    for (const wire::RouteItem& route : aChange.routes()) {
      names.Identifier(route.name(), "name of a route")
        .Text(route.host(), "host", kMaxPathBytes)
        .Text(route.prefix(), "path prefix", kMaxPathBytes);
      for (const wire::RoutePart& part : route.parts()) {
        names.Identifier(part.service(), "service of a route");
      }
    }
    for (const wire::ServiceItem& service : aChange.services()) {
      names.Identifier(service.name(), "name of a service")
        .Text(service.health_path(), "health path", kMaxPathBytes);
    }
    for (const wire::DroppedItem& item : aChange.dropped_routes()) {
      names.Identifier(item.name(), "name of a deleted route");
    }
    for (const wire::DroppedItem& item : aChange.dropped_services()) {
      names.Identifier(item.name(), "name of a deleted service");
    }
    return names.Checked();
  }

  Result<void> operator()(const Evacuation& aEvacuation) const
  {
    return CheckIdentifier(aEvacuation.dataCentre.value, "data centre");
  }

  Result<void> operator()(const ReadItems&) const { return {}; }
};

} // namespace

Result<void>
CheckNames(const ControlCall& aCall)
{
  return std::visit(CallChecker{}, aCall);
}

} // namespace rattandyke::gateway

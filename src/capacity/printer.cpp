#include "capacity/printer.h"

#include <cmath>
#include <cstdio>

namespace rattandyke::capacity {
namespace {

std::string
NumberText(double aValue)
{
  char text[40];
  const bool plain = std::abs(aValue) >= 1000 && std::abs(aValue) < 1e15;
  std::snprintf(text, sizeof text, plain ? "%.0f" : "%.4g", aValue);
  return text;
}

} // namespace

Printer::Printer(std::ostream& aOut)
  : mOut(aOut)
{
}

void
Printer::Heading(std::string_view aTitle)
{
  mOut << "\n== " << aTitle << std::endl;
}

void
Printer::Input(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               std::string_view aSource)
{
  mOut << "input " << aName << ' ' << NumberText(aValue) << ' ' << aUnit << " ("
       << aSource << ')' << std::endl;
}

void
Printer::Slope(std::string_view aName,
               std::string_view aUnit,
               std::string_view aPer,
               const Fit& aFit)
{
  mOut << "slope " << aName << ' ' << NumberText(aFit.slope) << ' ' << aUnit
       << '/' << aPer << " base " << NumberText(aFit.base) << " error "
       << NumberText(aFit.error * 100) << "% at";
  for (const Point& point : aFit.points) {
    mOut << ' ' << NumberText(point.size) << ':' << NumberText(point.value);
  }
  mOut << std::endl;
}

void
Printer::Value(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               std::string_view aHow)
{
  mOut << "value " << aName << ' ' << NumberText(aValue) << ' ' << aUnit << " ("
       << aHow << ')' << std::endl;
}

void
Printer::Against(std::string_view aName,
                 double aValue,
                 std::string_view aUnit,
                 double aLimit,
                 std::string_view aHow)
{
  mOut << "size " << aName << ' ' << NumberText(aValue) << ' ' << aUnit
       << " limit " << NumberText(aLimit)
       << (aValue <= aLimit ? " ok " : " over ") << NumberText(aValue / aLimit)
       << "x (" << aHow << ')' << std::endl;
}

} // namespace rattandyke::capacity

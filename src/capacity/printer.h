/// The lines that `make capacity` prints and the capacity page quotes.
#pragma once

#include <ostream>
#include <string_view>

#include "capacity/fit.h"

namespace rattandyke::capacity {

class Printer
{
public:
  explicit Printer(std::ostream& aOut);

  /// "== TITLE"
  void Heading(std::string_view aTitle);

  /// "input NAME VALUE UNIT (SOURCE)": from the letter, or assumed.
  void Input(std::string_view aName,
             double aValue,
             std::string_view aUnit,
             std::string_view aSource);

  /// "slope NAME SLOPE UNIT/PER base BASE error E% at SIZE:VALUE ..."
  void Slope(std::string_view aName,
             std::string_view aUnit,
             std::string_view aPer,
             const Fit& aFit);

  /// "value NAME VALUE UNIT": measured, or worked out from slopes; aHow says
  /// from which.
  void Value(std::string_view aName,
             double aValue,
             std::string_view aUnit,
             std::string_view aHow);

  /// "size NAME VALUE UNIT limit LIMIT ok|over FACTORx (HOW)"
  void Against(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               double aLimit,
               std::string_view aHow);

private:
  std::ostream& mOut;
};

} // namespace rattandyke::capacity

/// One measured figure, its bound, and the line that reports it.
#pragma once

#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ostream>
#include <string>
#include <string_view>

namespace rattandyke::bench {

enum class Bound
{
  None,
  AtMost,
  AtLeast
};

struct Figure
{
  std::string name;
  double value = 0;
  std::string unit;
  Bound bound = Bound::None;
  double limit = 0;
};

/// @return true unless the bound is broken. A value that is not a number
/// breaks every bound: a measurement that failed must not pass.
inline bool
IsOk(const Figure& aFigure)
{
  switch (aFigure.bound) {
    case Bound::None:
      return true;
    case Bound::AtMost:
      return aFigure.value <= aFigure.limit;
    case Bound::AtLeast:
      return aFigure.value >= aFigure.limit;
  }
  return false;
}

/// @return whole numbers without a point, others to six digits.
inline std::string
ToText(double aValue)
{
  constexpr double kLargestExact = 1e15;
  const bool whole =
    std::trunc(aValue) == aValue && std::abs(aValue) < kLargestExact;
  char text[40];
  std::snprintf(text, sizeof text, whole ? "%.0f" : "%.6g", aValue);
  return text;
}

/// @return "figure NAME VALUE UNIT bound <=|>= BOUND ok|over", or
/// "figure NAME VALUE UNIT bound - -" if it has no bound.
inline std::string
ToLine(const Figure& aFigure)
{
  std::string line = "figure " + aFigure.name + ' ' + ToText(aFigure.value) +
                     ' ' + aFigure.unit + " bound ";
  if (aFigure.bound == Bound::None) {
    return line + "- -";
  }
  line += aFigure.bound == Bound::AtMost ? "<= " : ">= ";
  return line + ToText(aFigure.limit) + (IsOk(aFigure) ? " ok" : " over");
}

/// Prints each figure as it comes and remembers whether one was over. Not
/// thread-safe: a bench reports from one thread.
class Reporter
{
public:
  explicit Reporter(std::ostream& aOut)
    : mOut(aOut)
  {
  }

  /// A figure that must not exceed aLimit.
  /// @param aName unique, lower_case; @param aUnit one word: "ms", "bytes".
  void AtMost(std::string_view aName,
              double aValue,
              std::string_view aUnit,
              double aLimit)
  {
    Report({ std::string(aName),
             aValue,
             std::string(aUnit),
             Bound::AtMost,
             aLimit });
  }

  /// A figure that must reach aLimit.
  void AtLeast(std::string_view aName,
               double aValue,
               std::string_view aUnit,
               double aLimit)
  {
    Report({ std::string(aName),
             aValue,
             std::string(aUnit),
             Bound::AtLeast,
             aLimit });
  }

  /// A figure without a bound.
  void Printed(std::string_view aName, double aValue, std::string_view aUnit)
  {
    Report({ std::string(aName), aValue, std::string(aUnit), Bound::None, 0 });
  }

  /// @return figures that broke their bound so far.
  uint64_t Over() const { return mOver; }

private:
  void Report(const Figure& aFigure)
  {
    mOver += IsOk(aFigure) ? 0 : 1;
    // Flushed, so that a bench that is killed leaves what it had measured.
    mOut << ToLine(aFigure) << std::endl;
  }

  std::ostream& mOut;
  uint64_t mOver = 0;
};

} // namespace rattandyke::bench

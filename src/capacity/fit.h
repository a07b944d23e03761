/// Straight lines through measured points.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace rattandyke::capacity {

/// What was measured at one size of a stand-in.
struct Point
{
  double size = 0;
  double value = 0;
};

/// value = base + slope * size.
struct Fit
{
  double slope = 0;
  double base = 0;
  /// Largest deviation of a point from the line, as a share of the point.
  double error = 0;
  std::vector<Point> points;

  /// @return the line's value at a size.
  double At(double aSize) const { return base + slope * aSize; }
};

/// Least squares of the relative deviations: every size counts alike, where
/// plain least squares would follow the largest alone.
/// @param aPoints at least two different sizes; values above zero.
inline Fit
FitLine(std::vector<Point> aPoints)
{
  double weights = 0;
  double sizes = 0;
  double values = 0;
  double squares = 0;
  double products = 0;
  for (const Point& point : aPoints) {
    const double weight = 1 / (point.value * point.value);
    weights += weight;
    sizes += weight * point.size;
    values += weight * point.value;
    squares += weight * point.size * point.size;
    products += weight * point.size * point.value;
  }
  Fit fit;
  fit.slope =
    (weights * products - sizes * values) / (weights * squares - sizes * sizes);
  fit.base = (values - fit.slope * sizes) / weights;
  for (const Point& point : aPoints) {
    const double off = std::abs(fit.At(point.size) - point.value);
    fit.error = std::max(fit.error, off / std::abs(point.value));
  }
  fit.points = std::move(aPoints);
  return fit;
}

} // namespace rattandyke::capacity

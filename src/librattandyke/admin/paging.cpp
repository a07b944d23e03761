#include "admin/paging.h"

#include <algorithm>
#include <charconv>

namespace rattandyke::admin {

namespace {

constexpr size_t kDefaultLimit = 200;
constexpr size_t kMaxLimit = 1000;

Result<size_t>
ReadNumber(const ApiRequest& aRequest, const char* aName, size_t aDefault)
{
  const std::string text = aRequest.Query(aName);
  if (text.empty()) {
    return aDefault;
  }
  size_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end) {
    return Fail(Code::UsageError,
                std::string(aName) + " must be a whole number.");
  }
  return number;
}

} // namespace

Result<boost::json::object>
Page(boost::json::array aItems, const ApiRequest& aRequest)
{
  const Result<size_t> limit = ReadNumber(aRequest, "limit", kDefaultLimit);
  const Result<size_t> after = ReadNumber(aRequest, "after", 0);
  if (!limit || !after) {
    return tl::unexpected(limit ? after.error() : limit.error());
  }
  if (*limit == 0 || *limit > kMaxLimit) {
    return Fail(Code::UsageError, "limit must be 1 to 1000.");
  }
  const size_t total = aItems.size();
  const size_t first = std::min(*after, total);
  const size_t last = std::min(total, first + *limit);
  boost::json::array page(aItems.begin() + first, aItems.begin() + last);
  boost::json::value next = nullptr;
  if (last < total) {
    next = last;
  }
  return boost::json::object{ { "items", std::move(page) },
                              { "total", total },
                              { "next", next } };
}

} // namespace rattandyke::admin

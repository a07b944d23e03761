#include "http/routed_request.h"

#include <algorithm>
#include <charconv>

namespace rattandyke::http {

namespace {

constexpr size_t kMaxIdempotencyKeyBytes = 128;
constexpr size_t kMaxRequestIdBytes = 64;
constexpr size_t kMaxNameBytes = 128;
constexpr size_t kMaxKeyBytes = 1024;
constexpr unsigned kHttp11 = 11;

std::string_view
PathOf(const RequestHead& aHead)
{
  const std::string_view target = View(aHead.target());
  return target.substr(0, target.find('?'));
}

/// @param aSegment 1 is the first.
std::string_view
SegmentOf(std::string_view aPath, uint32_t aSegment)
{
  for (uint32_t segment = 0; segment < aSegment; ++segment) {
    const size_t slash = aPath.find('/');
    if (slash == std::string_view::npos) {
      return {};
    }
    aPath.remove_prefix(slash + 1);
  }
  return aPath.substr(0, aPath.find('/'));
}

/// @return the decoded value; nothing for a broken escape.
std::optional<std::string>
ValueOf(const RequestHead& aHead, const records::ValueSource& aSource)
{
  if (aSource.kind == records::ValueSource::Kind::Header) {
    return std::string(FieldOf(aHead, aSource.header));
  }
  // Decoded, so that two spellings of one key have one owner.
  return PercentDecode(SegmentOf(PathOf(aHead), aSource.segment));
}

bool
IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    return aByte > 0x20 && aByte < 0x7f;
  });
}

Result<std::chrono::milliseconds>
DeadlineOf(const RequestHead& aHead, const records::ServiceRecord& aRecord)
{
  const std::string_view text = FieldOf(aHead, kDeadlineHeader);
  if (text.empty()) {
    return aRecord.defaultDeadline;
  }
  constexpr uint32_t kLongest = 24 * 60 * 60 * 1000;
  uint32_t value = 0;
  const char* end = text.data() + text.size();
  const auto [read, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || read != end || value > kLongest) {
    return Fail(Code::MalformedRequest,
                "Rattandyke-Deadline-Ms must be a number of milliseconds of "
                "at most a day.");
  }
  return std::chrono::milliseconds{ value };
}

Result<std::string>
TextOf(const RequestHead& aHead, std::string_view aName, size_t aMaxBytes)
{
  const std::string_view value = FieldOf(aHead, aName);
  if (value.size() > aMaxBytes || !IsPrintable(value)) {
    return Fail(Code::MalformedRequest,
                std::string(aName) + " must have at most " +
                  std::to_string(aMaxBytes) + " printable characters.");
  }
  return std::string(value);
}

Result<void>
CheckEndToEnd(const RequestHead& aHead, std::string_view aName)
{
  if (IsNamedByConnection(aHead, aName)) {
    return Fail(Code::MalformedRequest,
                "Connection names " + std::string(aName) +
                  ", which is for the whole way.");
  }
  return {};
}

Result<void>
CheckSource(const RequestHead& aHead, const records::ValueSource& aSource)
{
  return aSource.kind == records::ValueSource::Kind::Header
           ? CheckEndToEnd(aHead, aSource.header)
           : Result<void>{};
}

Result<void>
SetKey(RoutedRequest& aRequest, const RequestHead& aHead)
{
  if (auto checked = CheckSource(aHead, aRequest.record->key); !checked) {
    return checked;
  }
  auto key = ValueOf(aHead, aRequest.record->key);
  if (!key) {
    return Fail(Code::MalformedRequest, "The path has a broken escape.");
  }
  if (key->empty() || key->size() > kMaxKeyBytes) {
    return Fail(Code::MissingKey,
                "Service " + aRequest.record->name.value +
                  " needs a key of 1 to 1024 bytes.");
  }
  aRequest.key = std::move(*key);
  return {};
}

Result<void>
SetCustomer(RoutedRequest& aRequest, const RequestHead& aHead)
{
  if (auto checked = CheckSource(aHead, aRequest.record->customer); !checked) {
    return checked;
  }
  auto customer = ValueOf(aHead, aRequest.record->customer);
  if (!customer || customer->size() > kMaxNameBytes) {
    return Fail(Code::MalformedRequest,
                "The customer must have at most 128 bytes.");
  }
  aRequest.customer.value =
    customer->empty() ? std::string(kAnonymousCustomer) : std::move(*customer);
  return {};
}

} // namespace

Result<RoutedRequest>
Route(const RequestHead& aHead,
      std::shared_ptr<const routing::RoutingTable> aTable)
{
  RoutedRequest request;
  request.record = aTable->FindServiceByPath(PathOf(aHead));
  if (request.record == nullptr) {
    return Fail(Code::UnknownService, "No service has this path.");
  }
  request.table = std::move(aTable);
  if (auto set = SetKey(request, aHead); !set) {
    return tl::unexpected(set.error());
  }
  if (auto set = SetCustomer(request, aHead); !set) {
    return tl::unexpected(set.error());
  }
  auto key = TextOf(aHead, kIdempotencyKeyHeader, kMaxIdempotencyKeyBytes);
  if (!key) {
    return tl::unexpected(key.error());
  }
  auto id = TextOf(aHead, kRequestIdHeader, kMaxRequestIdBytes);
  if (!id) {
    return tl::unexpected(id.error());
  }
  auto deadline = DeadlineOf(aHead, *request.record);
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  request.idempotencyKey = std::move(*key);
  request.requestId = std::move(*id);
  request.deadline = *deadline;
  request.idempotent = request.record->idempotentMethods.contains(
    std::string(View(aHead.method_string())));
  return request;
}

Result<void>
CheckHead(const RequestHead& aHead)
{
  using boost::beast::http::field;
  if (aHead.version() != kHttp11) {
    return Fail(Code::MalformedRequest, "Only HTTP/1.1 is spoken here.");
  }
  if (aHead.count(field::host) != 1) {
    return Fail(Code::MalformedRequest, "A request needs one Host header.");
  }
  if (!aHead.target().starts_with('/')) {
    return Fail(Code::MalformedRequest, "The target must be a path.");
  }
  for (const std::string_view name : { std::string_view("Host"),
                                       kRequestIdHeader,
                                       kDeadlineHeader,
                                       kIdempotencyKeyHeader }) {
    if (auto checked = CheckEndToEnd(aHead, name); !checked) {
      return checked;
    }
  }
  return {};
}

} // namespace rattandyke::http

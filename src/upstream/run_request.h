/// Reads what the record keeps of a request from its headers.
#pragma once

#include "upstream/asio_names.h"
#include "upstream/grant_book.h"
#include "upstream/run_log.h"

namespace rattandyke::upstream {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/// The load driver's headers, which travel through the entries untouched.
inline constexpr std::string_view kLoadIdHeader = "Load-Request";
inline constexpr std::string_view kLoadAttemptHeader = "Load-Attempt";
inline constexpr std::string_view kLoadAnswerBytesHeader = "Load-Answer-Bytes";

/// @return the text with %XX replaced by the bytes that they stand for.
std::string DecodePercent(std::string_view aText);

/// @return the header's decimal number, or nothing.
std::optional<uint64_t> NumberHeader(const Request& aRequest,
                                     std::string_view aName);

RunRequest DescribeRun(const Request& aRequest, const std::string& aSender);

/// @return what the request claims to be allowed to.
Claim ClaimOf(const Request& aRequest, const RunRequest& aRun);

} // namespace rattandyke::upstream

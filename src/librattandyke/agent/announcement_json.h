/// The JSON forms of announcements; docs/PROTOCOL.md specifies them.
#pragma once

#include <string>
#include <string_view>

#include <rattandyke/result.h>

#include "agent/announcement.h"

namespace rattandyke::agent {

/// @param aText body of an announcement; unknown fields are ignored.
/// @return the announcement, or Code::MalformedRequest naming the field, what
/// was read and what is allowed.
Result<Announcement> ParseAnnouncement(std::string_view aText);

/// @return body of the answer: of status 200, or the error's code and message.
std::string ToJson(const AnnounceAnswer& aAnswer);

} // namespace rattandyke::agent

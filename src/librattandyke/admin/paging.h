/// Cuts long lists into pages.
#pragma once

#include <boost/json.hpp>

#include "admin/message.h"

namespace rattandyke::admin {

/// @param aItems  the whole list.
/// @param aRequest "limit" (1 to 1000, default 200) and "after" (position that
/// the page before told as "next").
/// @return {"items": [...], "total": N, "next": POSITION or null}, or
/// Code::UsageError.
Result<boost::json::object> Page(boost::json::array aItems,
                                 const ApiRequest& aRequest);

} // namespace rattandyke::admin

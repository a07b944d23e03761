/// Answers that rattandyke makes itself, as bytes for the wire.
#pragma once

#include <string>

#include "entry/outcome.h"
#include "entry/request_flow.h"

namespace rattandyke::http {

/// What an answer's head needs beside its content.
struct AnswerContext
{
  std::string_view requestId;
  /// The request was HEAD: the head says the length, and no body follows.
  bool headOnly = false;
  bool keepAlive = true;
};

/// @return head and a one-line body that tells the code, message and outcome.
std::string ErrorAnswer(const entry::flow_effect::ReplyError& aError,
                        const AnswerContext& aContext);

/// @return an answer kept by the idempotency register.
std::string StoredAnswerText(const entry::flow_effect::ReplyStored& aStored,
                             const AnswerContext& aContext);

/// @param aHealthy whether the balancer may send work here.
std::string HealthAnswer(bool aHealthy,
                         std::string_view aReason,
                         bool aKeepAlive);

/// Appends "HTTP/1.1 404 Not Found" and the line's end.
void AppendStatusLine(std::string& aOut, uint32_t aStatus);

} // namespace rattandyke::http

#pragma once

#include <string>

#include "core/common/error.h"
#include "core/http/message.h"

namespace jacinth::http {

/// Builds an application/problem+json response (RFC 9457) for an error, with
/// the name of the error kind in the body and the outcome in the body and the
/// Jacinth-Outcome header.
Response ProblemResponse(const Error& error, Outcome outcome);

/// Builds the problem response with the default outcome of the error kind.
Response ProblemResponse(const Error& error);

/// Extracts the error from a problem response. Returns kInternal if the
/// response contains none.
Error ErrorFromProblem(const Response& response);

}  // namespace jacinth::http

#pragma once

namespace jacinth::http {

/// HTTP status codes (RFC 9110) that the code sends or distinguishes.
inline constexpr int kStatusFirstInterim = 100;
inline constexpr int kStatusSwitchingProtocols = 101;
inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNoContent = 204;
inline constexpr int kStatusFirstRedirect = 300;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusTemporaryRedirect = 307;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusRequestTimeout = 408;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusContentTooLarge = 413;
inline constexpr int kStatusMisdirectedRequest = 421;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusHeaderFieldsTooLarge = 431;
inline constexpr int kStatusFirstServerError = 500;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusServiceUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;
/// Statuses from here on are invalid.
inline constexpr int kStatusEnd = 600;

/// Returns true for the status of a response that ends its exchange.
constexpr bool IsFinalStatus(int status) {
  return status >= kStatusOk && status < kStatusEnd;
}

}  // namespace jacinth::http

// HTTP status codes that several packages use.
#pragma once

namespace kumquat {

inline constexpr int statusOk = 200;
inline constexpr int statusBadRequest = 400;
inline constexpr int statusNotFound = 404;
inline constexpr int statusTooManyRequests = 429;
inline constexpr int firstServerError = 500; // this status and all higher ones
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;

} // namespace kumquat

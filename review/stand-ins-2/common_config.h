#pragma once

// The configuration of the cases: two unsafe routes to two services, and a safe
// one to a third.

#include <string>

#include "theatre.h"

namespace theatre {

inline std::string RouteRows(const std::string& visit,
                             const std::string& booking) {
  return R"({"columns":["name","host","path_prefix","route_type","timeout_ms",)"
         R"("target_latency_ms","priority","max_attempts","session_affinity",)"
         R"("service"],"rows":[)"
         R"(["r-visit","jepu9.example","/puka111/","unsafe",12000,8000,0,2,false,")" +
         visit +
         R"("],["r-booking","hulo84.example","/leny950/","unsafe",12000,8000,1,2,false,")" +
         booking +
         R"("],["r-lookup","hulo84.example","/rota22/","safe",12000,8000,1,2,false,"cova"]]})";
}

inline std::string ServiceRows() {
  return R"({"columns":["name","health_check_path","max_connections","protocol",)"
         R"("tls","warmup_s","warmup_per_s"],"rows":[)"
         R"(["alofa","/health",360,"h1",false,3.0,4.2],)"
         R"(["bula","/health",360,"h1",false,3.0,4.2],)"
         R"(["cova","/health",360,"h1",false,3.0,4.2]]})";
}

inline std::string FirstConfig() {
  return R"({"version":"00000003","routes":)" + RouteRows("alofa", "bula") +
         R"(,"services":)" + ServiceRows() +
         R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

/// The two unsafe routes change their services with each other.
inline std::string SwapConfig() {
  return R"({"version":"00000005","upsert":{"routes":)" +
         RouteRows("bula", "alofa") + R"(},"remove":{}})";
}

inline Message Visit(const std::string& front, const std::string& id) {
  return Request(front, "PUT", "jepu9.example", "/puka111/1", id, 12'000, "b");
}

inline Message Booking(const std::string& front, const std::string& id) {
  return Request(front, "POST", "hulo84.example", "/leny950/1", id, 12'000, "b");
}

}  // namespace theatre

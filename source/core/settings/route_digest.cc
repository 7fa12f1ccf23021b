#include "core/settings/route_digest.h"

#include <algorithm>
#include <string>
#include <string_view>

#include "core/common/execution.h"
#include "core/common/hash.h"
#include "core/common/rank.h"

namespace jacinth::settings {
namespace {

void Append(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

void Append(std::string& text, std::int64_t number) {
  Append(text, std::to_string(number));
}

// The bindings name every field, so that one that is added doesn't compile here
// until it is part of the digest.
void Append(std::string& text, const KindSettings& kind) {
  const auto& [name, path_prefix, method, rank, execution, request_timeout,
               attempt_timeout, max_attempts, queue_limit, concurrency_limit,
               objective, affinity, regions] = kind;
  for (const std::string* part : {&name, &path_prefix, &method})
    Append(text, *part);
  Append(text, RankName(rank));
  Append(text, ExecutionName(execution));
  for (const Duration time : {request_timeout, attempt_timeout, objective})
    Append(text, time.count());
  for (const int number : {max_attempts, queue_limit, concurrency_limit})
    Append(text, number);
  Append(text, affinity ? 1 : 0);
  for (const std::string& region : regions)
    Append(text, region);
}

std::uint64_t DigestOfText(std::string_view text) {
  return std::max<std::uint64_t>(Hash64(text), 1);
}

}  // namespace

std::uint64_t DigestOf(const RouteSettings& route) {
  const auto& [host, kind, shares] = route;
  std::string text;
  Append(text, host);
  for (const auto& [service, weight] : shares) {
    Append(text, service);
    Append(text, weight);
  }
  Append(text, kind);
  return DigestOfText(text);
}

std::uint64_t DigestOf(const KindSettings& kind) {
  std::string text;
  Append(text, kind);
  return DigestOfText(text);
}

}  // namespace jacinth::settings

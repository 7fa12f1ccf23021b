#include "core/settings/tree_table.h"

#include <array>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/split.h"

namespace jacinth::settings {
namespace {

constexpr std::int64_t kMaxDurationMs = 86'400'000;
constexpr std::int64_t kMaxSizeBytes = 64LL * 1024 * 1024;

// Scopes of settings that a service, a route or a kind sets itself or inherits
// from the branches above it.
constexpr BranchScopeMask kServiceAndAbove =
    BranchScope::kRoot | BranchScope::kServices | BranchScope::kService;
constexpr BranchScopeMask kRouteAndAbove =
    BranchScope::kRoot | BranchScope::kRoutes | BranchScope::kRoute;
constexpr BranchScopeMask kKindAndAbove =
    kServiceAndAbove | kRouteAndAbove | BranchScope::kKind;
constexpr auto kOnlyRoot = static_cast<BranchScopeMask>(BranchScope::kRoot);
constexpr auto kOnlyRoute = static_cast<BranchScopeMask>(BranchScope::kRoute);

struct ScopePatternEntry {
  BranchScope scope;
  std::string_view pattern;
};

constexpr std::array kScopePatterns = {
    ScopePatternEntry{BranchScope::kRoot, ""},
    ScopePatternEntry{BranchScope::kServices, "service"},
    ScopePatternEntry{BranchScope::kService, "service/<name>"},
    ScopePatternEntry{BranchScope::kServiceRegion,
                      "service/<name>/region/<name>"},
    ScopePatternEntry{BranchScope::kKind, "service/<name>/kind/<name>"},
    ScopePatternEntry{BranchScope::kEndpoint, "service/<name>/endpoint/<name>"},
    ScopePatternEntry{BranchScope::kRegion, "region/<name>"},
    ScopePatternEntry{BranchScope::kFailureDomain,
                      "region/<name>/failure_domain/<name>"},
    ScopePatternEntry{BranchScope::kEntry, "entry/<name>"},
    ScopePatternEntry{BranchScope::kClients, "region/<name>/clients/<name>"},
    ScopePatternEntry{BranchScope::kRoutes, "route"},
    ScopePatternEntry{BranchScope::kRoute, "route/<name>"},
};

constexpr std::array kTreeSettings = {
    TreeSettingSpec{"ttl_ms",
                    kServiceAndAbove | BranchScope::kServiceRegion,
                    SettingType::kInteger,
                    {100, 600'000},
                    "2000",
                    "How long callers may cache a look-up answer."},
    TreeSettingSpec{
        "request_timeout_ms",
        kKindAndAbove,
        SettingType::kInteger,
        {1, 600'000},
        "5000",
        "Maximum time from the arrival of a request to its answer; a "
        "shorter Jacinth-Deadline-Ms takes precedence."},
    TreeSettingSpec{
        "attempt_timeout_ms",
        kKindAndAbove,
        SettingType::kInteger,
        {10, 600'000},
        "2000",
        "Maximum wait for the answer of one endpoint if another "
        "attempt can follow; applies only to repeatable kinds. Set it "
        "above the response time of the slowest successful request."},
    TreeSettingSpec{"connect_timeout_ms",
                    kServiceAndAbove,
                    SettingType::kInteger,
                    {1, 60'000},
                    "250",
                    "Maximum time to open a connection to an endpoint."},
    TreeSettingSpec{
        "max_attempts",
        kKindAndAbove,
        SettingType::kInteger,
        {1, 100},
        "3",
        "Maximum number of attempts for one request, including the first."},
    TreeSettingSpec{"retry_budget_percent",
                    kServiceAndAbove,
                    SettingType::kInteger,
                    {0, 100},
                    "20",
                    "Retries allowed, as a percentage of first attempts."},
    TreeSettingSpec{"slots",
                    kServiceAndAbove | BranchScope::kEndpoint,
                    SettingType::kInteger,
                    {1, 10'000},
                    "4",
                    "Number of requests that one endpoint runs concurrently."},
    TreeSettingSpec{
        "queue_limit",
        kKindAndAbove,
        SettingType::kInteger,
        {0, 100'000},
        "64",
        "Maximum number of requests of one kind queued in an entry instance."},
    TreeSettingSpec{
        "concurrency_limit",
        kKindAndAbove,
        SettingType::kInteger,
        {1, 100'000},
        "256",
        "Maximum number of requests of one kind that run concurrently "
        "through one entry instance."},
    TreeSettingSpec{
        "normal_share_percent",
        kServiceAndAbove,
        SettingType::kInteger,
        {0, 100},
        "20",
        "Percentage of the slots guaranteed to rank normal under load."},
    TreeSettingSpec{
        "background_share_percent",
        kServiceAndAbove,
        SettingType::kInteger,
        {0, 100},
        "5",
        "Percentage of the slots guaranteed to rank background under load."},
    TreeSettingSpec{
        "shift_cap_percent",
        kServiceAndAbove,
        SettingType::kInteger,
        {1, 100},
        "10",
        "Maximum percentage of a service's callers that can be moved "
        "between regions within one shift window."},
    TreeSettingSpec{
        "shift_window_ms",
        kServiceAndAbove,
        SettingType::kInteger,
        {1'000, kMaxDurationMs},
        "10000",
        "Length of the shift window to which shift_cap_percent applies."},
    TreeSettingSpec{
        "probe_interval_ms",
        kServiceAndAbove,
        SettingType::kInteger,
        {0, 600'000},
        "500",
        "Interval between health probes of one endpoint; with 0, only "
        "ejected endpoints are probed."},
    TreeSettingSpec{
        "probe_failures",
        kServiceAndAbove,
        SettingType::kInteger,
        {1, 100},
        "3",
        "Failures of probes and requests after which an endpoint is "
        "ejected; a successful probe resets the count, and an answer to a "
        "request reduces it by one."},
    TreeSettingSpec{"weight",
                    static_cast<BranchScopeMask>(BranchScope::kServiceRegion),
                    SettingType::kInteger,
                    {0, 1'000},
                    "",
                    "Weight that determines the share of the service's callers "
                    "steered to this region; if no region has a weight, "
                    "callers are steered to their own region."},
    TreeSettingSpec{"max_body_bytes",
                    static_cast<BranchScopeMask>(BranchScope::kRoot),
                    SettingType::kInteger,
                    {1, kMaxSizeBytes},
                    "1048576",
                    "Maximum size of a forwarded request or answer body."},
    TreeSettingSpec{"ledger_retention_s",
                    static_cast<BranchScopeMask>(BranchScope::kRoot),
                    SettingType::kInteger,
                    {60, 2'592'000},
                    "86400",
                    "Retention period of idempotency keys in the ledger."},
    TreeSettingSpec{"rank",
                    static_cast<BranchScopeMask>(BranchScope::kKind),
                    SettingType::kRank,
                    {},
                    "normal",
                    "Priority class of the requests of this kind."},
    TreeSettingSpec{
        "repeatable",
        static_cast<BranchScopeMask>(BranchScope::kKind),
        SettingType::kBoolean,
        {},
        "false",
        "Whether it is safe to run a request more than once; otherwise "
        "it requires an Idempotency-Key and runs at most once."},
    TreeSettingSpec{"path_prefix",
                    BranchScope::kKind | BranchScope::kRoute,
                    SettingType::kText,
                    {},
                    "",
                    "Path prefix of the requests of this kind or route; the "
                    "longest matching prefix applies."},
    TreeSettingSpec{
        "method",
        static_cast<BranchScopeMask>(BranchScope::kKind),
        SettingType::kName,
        {},
        "",
        "HTTP method of the requests of this kind; if unset, any method."},
    TreeSettingSpec{"address",
                    static_cast<BranchScopeMask>(BranchScope::kEndpoint),
                    SettingType::kAddress,
                    {},
                    "",
                    "Address on which the endpoint listens."},
    TreeSettingSpec{"region",
                    static_cast<BranchScopeMask>(BranchScope::kEndpoint),
                    SettingType::kName,
                    {},
                    "",
                    "Region of the endpoint."},
    TreeSettingSpec{"failure_domain",
                    static_cast<BranchScopeMask>(BranchScope::kEndpoint),
                    SettingType::kName,
                    {},
                    "",
                    "Failure domain of the endpoint."},
    TreeSettingSpec{
        "blocks",
        static_cast<BranchScopeMask>(BranchScope::kClients),
        SettingType::kBlockList,
        {},
        "",
        "CIDR blocks of client addresses (a.b.c.d/n) that belong to "
        "the region."},
    TreeSettingSpec{"max_header_bytes",
                    kOnlyRoot,
                    SettingType::kInteger,
                    {256, kMaxSizeBytes},
                    "16384",
                    "Maximum size of a request head."},
    TreeSettingSpec{"header_timeout_ms",
                    kOnlyRoot,
                    SettingType::kInteger,
                    {1, kMaxDurationMs},
                    "5000",
                    "Maximum time to receive a request head."},
    TreeSettingSpec{
        "idle_timeout_ms",
        kOnlyRoot,
        SettingType::kInteger,
        {1, kMaxDurationMs},
        "15000",
        "Idle time after which the connection of a caller is closed."},
    TreeSettingSpec{"host",
                    kOnlyRoute,
                    SettingType::kText,
                    {},
                    "",
                    "Host of the requests that the route matches, compared "
                    "without regard to case, port and final dot."},
    TreeSettingSpec{
        "execution",
        kOnlyRoute,
        SettingType::kName,
        {},
        "single_attempt",
        "repeatable, single_attempt (sent again only if it certainly "
        "has not run) or at_most_once (requires an Idempotency-Key)."},
    TreeSettingSpec{"service",
                    kOnlyRoute,
                    SettingType::kName,
                    {},
                    "",
                    "Service to which the route sends its requests."},
    TreeSettingSpec{"split",
                    kOnlyRoute,
                    SettingType::kList,
                    {},
                    "",
                    "Services with their weights, `name:weight`, in place of "
                    "service. If all weights are 0, the requests of the route "
                    "are refused."},
    TreeSettingSpec{"objective_ms",
                    kRouteAndAbove,
                    SettingType::kInteger,
                    {0, kMaxDurationMs},
                    "1000",
                    "Target latency of answers."},
    TreeSettingSpec{
        "priority",
        kRouteAndAbove,
        SettingType::kInteger,
        {0, 1'000},
        "1",
        "Priority, 0 being the most urgent; 0 maps to rank urgent, 1 "
        "to normal and higher values to background."},
    TreeSettingSpec{
        "affinity",
        kRouteAndAbove,
        SettingType::kBoolean,
        {},
        "false",
        "Whether requests for the same object are preferably sent to "
        "the same endpoint."},
    TreeSettingSpec{"regions",
                    kOnlyRoute,
                    SettingType::kList,
                    {},
                    "",
                    "Regions that may serve the route; if unset, all regions."},
    TreeSettingSpec{
        "endpoint_connections",
        kServiceAndAbove,
        SettingType::kInteger,
        {1, 1'000'000},
        "1000",
        "Maximum number of connections that one endpoint accepts from "
        "all callers together."},
    TreeSettingSpec{
        "endpoint_queue_percent",
        kServiceAndAbove,
        SettingType::kInteger,
        {1, 10'000},
        "100",
        "Maximum number of requests running or queued at one endpoint, "
        "as a percentage of its slots."},
    TreeSettingSpec{
        "endpoint_wait_percent",
        kServiceAndAbove,
        SettingType::kInteger,
        {1, 10'000},
        "100",
        "Number of requests at the owner of an object, as a percentage of its "
        "slots, from which a further request goes to an idle slot elsewhere if "
        "there is one; below it, the request waits at the owner."},
    TreeSettingSpec{"health_path",
                    kServiceAndAbove,
                    SettingType::kText,
                    {},
                    "/healthz",
                    "Path of the health probes of endpoints."},
    TreeSettingSpec{"warmup_ms",
                    kServiceAndAbove,
                    SettingType::kInteger,
                    {0, kMaxDurationMs},
                    "0",
                    "Time after its start during which an endpoint is cold."},
    TreeSettingSpec{
        "warmup_per_1000_s",
        kServiceAndAbove,
        SettingType::kInteger,
        {0, 1'000'000'000},
        "0",
        "Number of requests that a cold endpoint can handle in 1000 s; "
        "0 for no limit."},
    TreeSettingSpec{"attachment",
                    kOnlyRoot | BranchScope::kService | BranchScope::kRoute,
                    SettingType::kText,
                    {},
                    "",
                    "Fields received through an operator interface that the "
                    "product does not use, stored unchanged."},
    TreeSettingSpec{"drain",
                    BranchScope::kEndpoint | BranchScope::kRegion |
                        BranchScope::kFailureDomain | BranchScope::kEntry,
                    SettingType::kBoolean,
                    {},
                    "false",
                    "Whether the endpoint, region, failure domain or entry of "
                    "the branch is drained and receives no new requests."},
};

bool MatchesPattern(const std::vector<std::string>& pattern_parts,
                    const std::vector<std::string>& parts) {
  if (pattern_parts.size() != parts.size())
    return false;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const bool matches = pattern_parts[i] == "<name>"
                             ? IsName(parts[i])
                             : pattern_parts[i] == parts[i];
    if (!matches)
      return false;
  }
  return true;
}

}  // namespace

std::span<const TreeSettingSpec> TreeSettingTable() {
  return kTreeSettings;
}

const TreeSettingSpec* FindTreeSetting(std::string_view key) {
  static const auto kSpecs = [] {
    std::unordered_map<std::string_view, const TreeSettingSpec*> specs;
    for (const TreeSettingSpec& spec : kTreeSettings)
      specs.emplace(spec.key, &spec);
    return specs;
  }();
  const auto found = kSpecs.find(key);
  return found == kSpecs.end() ? nullptr : found->second;
}

std::optional<BranchScope> FindBranchScope(std::string_view branch) {
  static const auto kPatterns = [] {
    std::vector<std::pair<std::vector<std::string>, BranchScope>> patterns;
    patterns.reserve(std::size(kScopePatterns));
    for (const ScopePatternEntry& entry : kScopePatterns)
      patterns.emplace_back(Split(entry.pattern, '/'), entry.scope);
    return patterns;
  }();
  const std::vector<std::string> parts = Split(branch, '/');
  for (const auto& [pattern, scope] : kPatterns) {
    if (MatchesPattern(pattern, parts))
      return scope;
  }
  return std::nullopt;
}

std::string_view ScopePattern(BranchScope scope) {
  for (const ScopePatternEntry& entry : kScopePatterns) {
    if (entry.scope == scope)
      return entry.pattern;
  }
  return "";
}

}  // namespace jacinth::settings

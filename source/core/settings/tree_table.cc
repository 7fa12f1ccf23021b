#include "core/settings/tree_table.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "core/common/split.h"

namespace jacinth::settings {
namespace {

constexpr std::int64_t kMaxMillis = 86'400'000;
constexpr std::int64_t kMaxBytes = 64LL * 1024 * 1024;

constexpr BranchScopes kAnyService =
    BranchScope::kRoot | BranchScope::kServices | BranchScope::kService;
constexpr BranchScopes kAnyRoute =
    BranchScope::kRoot | BranchScope::kRoutes | BranchScope::kRoute;
constexpr BranchScopes kAnyKind = kAnyService | kAnyRoute | BranchScope::kKind;
constexpr auto kOnlyRoot = static_cast<BranchScopes>(BranchScope::kRoot);
constexpr auto kOnlyRoute = static_cast<BranchScopes>(BranchScope::kRoute);

struct ScopeRow {
  BranchScope scope;
  std::string_view pattern;
};

constexpr std::array kScopes = {
    ScopeRow{BranchScope::kRoot, ""},
    ScopeRow{BranchScope::kServices, "service"},
    ScopeRow{BranchScope::kService, "service/<name>"},
    ScopeRow{BranchScope::kServiceRegion, "service/<name>/region/<name>"},
    ScopeRow{BranchScope::kKind, "service/<name>/kind/<name>"},
    ScopeRow{BranchScope::kEndpoint, "service/<name>/endpoint/<name>"},
    ScopeRow{BranchScope::kRegion, "region/<name>"},
    ScopeRow{BranchScope::kFailureDomain,
             "region/<name>/failure_domain/<name>"},
    ScopeRow{BranchScope::kEntry, "entry/<name>"},
    ScopeRow{BranchScope::kClients, "region/<name>/clients/<name>"},
    ScopeRow{BranchScope::kRoutes, "route"},
    ScopeRow{BranchScope::kRoute, "route/<name>"},
};

constexpr std::array kSettings = {
    TreeSetting{"ttl_ms",
                kAnyService | BranchScope::kServiceRegion,
                SettingType::kInteger,
                {100, 600'000},
                "2000",
                "How long callers may use a look-up answer."},
    TreeSetting{"request_timeout_ms",
                kAnyKind,
                SettingType::kInteger,
                {1, 600'000},
                "5000",
                "Longest time from a request's arrival to its answer; a "
                "shorter Jacinth-Deadline-Ms wins."},
    TreeSetting{"attempt_timeout_ms",
                kAnyKind,
                SettingType::kInteger,
                {10, 600'000},
                "2000",
                "Longest wait for one endpoint's answer while another attempt "
                "may follow; only for repeatable kinds. Set it above the "
                "slowest good answer."},
    TreeSetting{"connect_timeout_ms",
                kAnyService,
                SettingType::kInteger,
                {1, 60'000},
                "250",
                "Time to open a connection to an endpoint."},
    TreeSetting{"max_attempts",
                kAnyKind,
                SettingType::kInteger,
                {1, 100},
                "3",
                "Attempts for one request, the first included."},
    TreeSetting{"retry_budget_percent",
                kAnyService,
                SettingType::kInteger,
                {0, 100},
                "20",
                "Retries allowed as a share of first attempts."},
    TreeSetting{"slots",
                kAnyService | BranchScope::kEndpoint,
                SettingType::kInteger,
                {1, 10'000},
                "4",
                "Requests that one endpoint runs at once."},
    TreeSetting{"queue_limit",
                kAnyKind,
                SettingType::kInteger,
                {0, 100'000},
                "64",
                "Requests of one kind that may wait in an entry instance."},
    TreeSetting{"concurrency_limit",
                kAnyKind,
                SettingType::kInteger,
                {1, 100'000},
                "256",
                "Requests of one kind that may run at once through one entry "
                "instance."},
    TreeSetting{"normal_share_percent",
                kAnyService,
                SettingType::kInteger,
                {0, 100},
                "20",
                "Share of the slots that rank normal keeps under load."},
    TreeSetting{"background_share_percent",
                kAnyService,
                SettingType::kInteger,
                {0, 100},
                "5",
                "Share of the slots that rank background keeps under load."},
    TreeSetting{"shift_cap_percent",
                kAnyService,
                SettingType::kInteger,
                {1, 100},
                "10",
                "Share of a service's callers that may be moved between "
                "regions within one shift window."},
    TreeSetting{"shift_window_ms",
                kAnyService,
                SettingType::kInteger,
                {1'000, kMaxMillis},
                "10000",
                "Length of a shift window."},
    TreeSetting{"probe_interval_ms",
                kAnyService,
                SettingType::kInteger,
                {0, 600'000},
                "500",
                "Time between health probes of one endpoint; 0 to probe only "
                "those put aside."},
    TreeSetting{"probe_failures",
                kAnyService,
                SettingType::kInteger,
                {1, 100},
                "3",
                "Failed probes in a row that put an endpoint aside."},
    TreeSetting{"weight",
                static_cast<BranchScopes>(BranchScope::kServiceRegion),
                SettingType::kInteger,
                {0, 1'000},
                "",
                "Share of the service's callers steered to this region; "
                "unset, callers go to the nearest entry."},
    TreeSetting{"max_body_bytes",
                static_cast<BranchScopes>(BranchScope::kRoot),
                SettingType::kInteger,
                {1, kMaxBytes},
                "1048576",
                "Largest request or answer body passed on."},
    TreeSetting{"ledger_retention_s",
                static_cast<BranchScopes>(BranchScope::kRoot),
                SettingType::kInteger,
                {60, 2'592'000},
                "86400",
                "How long an idempotency key is remembered."},
    TreeSetting{"rank",
                static_cast<BranchScopes>(BranchScope::kKind),
                SettingType::kRank,
                {},
                "normal",
                "Priority class of the requests of this kind."},
    TreeSetting{"repeatable",
                static_cast<BranchScopes>(BranchScope::kKind),
                SettingType::kBoolean,
                {},
                "false",
                "Whether running a request twice is harmless; otherwise it "
                "needs an Idempotency-Key and runs at most once."},
    TreeSetting{"path_prefix",
                BranchScope::kKind | BranchScope::kRoute,
                SettingType::kText,
                {},
                "",
                "Start of the paths of this kind or route; the longest match "
                "wins."},
    TreeSetting{"method",
                static_cast<BranchScopes>(BranchScope::kKind),
                SettingType::kName,
                {},
                "",
                "HTTP method of this kind; unset, any."},
    TreeSetting{"address",
                static_cast<BranchScopes>(BranchScope::kEndpoint),
                SettingType::kAddress,
                {},
                "",
                "Where the endpoint listens."},
    TreeSetting{"region",
                static_cast<BranchScopes>(BranchScope::kEndpoint),
                SettingType::kName,
                {},
                "",
                "Region of the endpoint."},
    TreeSetting{"failure_domain",
                static_cast<BranchScopes>(BranchScope::kEndpoint),
                SettingType::kName,
                {},
                "",
                "Failure domain of the endpoint."},
    TreeSetting{"blocks",
                static_cast<BranchScopes>(BranchScope::kClients),
                SettingType::kBlockList,
                {},
                "",
                "Blocks of client addresses (a.b.c.d/n) that belong to the "
                "region."},
    TreeSetting{"max_header_bytes",
                kOnlyRoot,
                SettingType::kInteger,
                {256, kMaxBytes},
                "16384",
                "Largest request head that callers may send."},
    TreeSetting{"header_timeout_ms",
                kOnlyRoot,
                SettingType::kInteger,
                {1, kMaxMillis},
                "5000",
                "Longest time for a request's head to arrive."},
    TreeSetting{"idle_timeout_ms",
                kOnlyRoot,
                SettingType::kInteger,
                {1, kMaxMillis},
                "15000",
                "Idle time after which a caller's connection is closed."},
    TreeSetting{"host",
                kOnlyRoute,
                SettingType::kText,
                {},
                "",
                "Host that callers address the route by."},
    TreeSetting{"execution",
                kOnlyRoute,
                SettingType::kName,
                {},
                "single_attempt",
                "repeatable, single_attempt (sent again only if it surely has "
                "not run) or at_most_once (needs an Idempotency-Key)."},
    TreeSetting{"service",
                kOnlyRoute,
                SettingType::kName,
                {},
                "",
                "Service that the route leads to."},
    TreeSetting{"split",
                kOnlyRoute,
                SettingType::kList,
                {},
                "",
                "Services with their shares, `name:weight`, instead of "
                "service."},
    TreeSetting{"objective_ms",
                kAnyRoute,
                SettingType::kInteger,
                {0, kMaxMillis},
                "1000",
                "Time within which an answer is worth most."},
    TreeSetting{"priority",
                kAnyRoute,
                SettingType::kInteger,
                {0, 1'000},
                "1",
                "Order of urgency, 0 first; ranks urgent, normal and "
                "background are 0, 1 and above."},
    TreeSetting{"affinity",
                kAnyRoute,
                SettingType::kBoolean,
                {},
                "false",
                "Whether requests for one object prefer one endpoint."},
    TreeSetting{"regions",
                kOnlyRoute,
                SettingType::kList,
                {},
                "",
                "Regions that may serve the route; unset, all."},
    TreeSetting{"endpoint_connections",
                kAnyService,
                SettingType::kInteger,
                {1, 1'000'000},
                "1000",
                "Connections that one endpoint accepts from all callers."},
    TreeSetting{"endpoint_queue_percent",
                kAnyService,
                SettingType::kInteger,
                {1, 10'000},
                "100",
                "Requests that may be at one endpoint, running or waiting "
                "there, in percent of its slots."},
    TreeSetting{"endpoint_wait_percent",
                kAnyService,
                SettingType::kInteger,
                {1, 10'000},
                "100",
                "Requests at the owner of an object, in percent of its slots, "
                "up to which one more waits there; above, it goes to an idle "
                "slot elsewhere if there is one."},
    TreeSetting{"health_path",
                kAnyService,
                SettingType::kText,
                {},
                "/healthz",
                "Path of the endpoints' health probe."},
    TreeSetting{"warmup_ms",
                kAnyService,
                SettingType::kInteger,
                {0, kMaxMillis},
                "0",
                "Time for which an endpoint is cold after its start."},
    TreeSetting{"warmup_per_1000_s",
                kAnyService,
                SettingType::kInteger,
                {0, 1'000'000'000},
                "0",
                "Requests that a cold endpoint bears in 1000 s; 0 for no "
                "limit."},
    TreeSetting{"attachment",
                kOnlyRoot | BranchScope::kService | BranchScope::kRoute,
                SettingType::kText,
                {},
                "",
                "Fields that an operator's interface gave and the product "
                "doesn't use, kept as they are."},
    TreeSetting{"drain",
                BranchScope::kEndpoint | BranchScope::kRegion |
                    BranchScope::kFailureDomain | BranchScope::kEntry,
                SettingType::kBoolean,
                {},
                "false",
                "No new work goes to what the branch names."},
};

bool Matches(std::string_view pattern, const std::vector<std::string>& parts) {
  const std::vector<std::string> wanted = Split(pattern, '/');
  if (wanted.size() != parts.size())
    return false;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const bool fits =
        wanted[i] == "<name>" ? IsName(parts[i]) : wanted[i] == parts[i];
    if (!fits)
      return false;
  }
  return true;
}

}  // namespace

std::span<const TreeSetting> TreeSettings() {
  return kSettings;
}

const TreeSetting* FindTreeSetting(std::string_view key) {
  const auto* row =
      std::find_if(kSettings.begin(), kSettings.end(),
                   [&](const TreeSetting& spec) { return spec.key == key; });
  return row == kSettings.end() ? nullptr : row;
}

std::optional<BranchScope> ScopeOf(std::string_view branch) {
  const std::vector<std::string> parts = Split(branch, '/');
  for (const ScopeRow& row : kScopes) {
    if (Matches(row.pattern, parts))
      return row.scope;
  }
  return std::nullopt;
}

std::string_view ScopePattern(BranchScope scope) {
  for (const ScopeRow& row : kScopes) {
    if (row.scope == scope)
      return row.pattern;
  }
  return "";
}

}  // namespace jacinth::settings

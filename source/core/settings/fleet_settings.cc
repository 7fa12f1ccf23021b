#include "core/settings/fleet_settings.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "core/common/host_name.h"
#include "core/common/split.h"
#include "core/settings/tree_table.h"

namespace jacinth::settings {
namespace {

// Period, in seconds, of rates whose key ends in `_per_1000_s`.
constexpr double kRatePeriodSeconds = 1'000;

// Maps a priority, which has no fixed upper limit, to one of the three ranks.
Rank RankFromPriority(std::int64_t priority) {
  const auto lowest_rank = static_cast<std::int64_t>(kRankCount) - 1;
  return kRanks[static_cast<std::size_t>(
      std::clamp<std::int64_t>(priority, 0, lowest_rank))];
}

// Names of routes and services.
struct RouteAndServiceNames {
  std::set<std::string> routes;
  std::set<std::string> services;
};

// Returns the routes and services that are built from the given branches, or
// nullopt if others, or other settings, are built from them as well.
std::optional<RouteAndServiceNames> FindBuiltFrom(
    std::span<const std::string> branches) {
  RouteAndServiceNames names;
  for (const std::string& branch : branches) {
    const std::vector<std::string> parts = Split(branch, '/');
    if (parts.size() == 2 && parts[0] == "route") {
      names.routes.insert(parts[1]);
      continue;
    }
    if (parts.size() < 2 || parts[0] != "service")
      return std::nullopt;
    names.services.insert(parts[1]);
  }
  return names;
}

// Order of the routes of a host.
bool IsBefore(const RouteSettings& left, const RouteSettings& right) {
  const std::size_t left_length = left.kind.path_prefix.size();
  const std::size_t right_length = right.kind.path_prefix.size();
  return left_length != right_length ? left_length > right_length
                                     : left.kind.name < right.kind.name;
}

// Adds sorted routes to sorted ones.
void MergeRoutes(std::vector<RouteSettings> added,
                 std::vector<RouteSettings>& routes) {
  std::vector<RouteSettings> merged;
  merged.reserve(routes.size() + added.size());
  std::merge(std::make_move_iterator(routes.begin()),
             std::make_move_iterator(routes.end()),
             std::make_move_iterator(added.begin()),
             std::make_move_iterator(added.end()), std::back_inserter(merged),
             IsBefore);
  routes = std::move(merged);
}

class FleetSettingsBuilder {
 public:
  explicit FleetSettingsBuilder(const Tree& tree) : tree_(tree) {}

  FleetSettings Build(std::uint64_t revision) const {
    FleetSettings fleet;
    fleet.revision = revision;
    fleet.max_body_bytes = GetInt64("", "max_body_bytes");
    fleet.max_header_bytes = GetInt64("", "max_header_bytes");
    fleet.header_timeout = GetMilliseconds("", "header_timeout_ms");
    fleet.idle_timeout = GetMilliseconds("", "idle_timeout_ms");
    fleet.routes = BuildRoutes(tree_.ChildNames("route"));
    AddDrainedDomains(fleet);
    fleet.ledger_retention =
        std::chrono::seconds(GetInt64("", "ledger_retention_s"));
    for (const std::string& name : tree_.ChildNames("service"))
      fleet.services.emplace(name, BuildService(name));
    for (const std::string& region : tree_.ChildNames("region"))
      AddClientBlocks(region, fleet);
    for (const std::string& name : tree_.ChildNames("entry")) {
      if (GetBoolean("entry/" + name, "drain"))
        fleet.drained_entries[name] = true;
    }
    return fleet;
  }

  // Builds the named routes and services of `fleet` anew.
  void Rebuild(const RouteAndServiceNames& names, FleetSettings& fleet) const {
    for (const std::string& name : names.services) {
      fleet.services.erase(name);
      if (tree_.Contains("service/" + name))
        fleet.services.emplace(name, BuildService(name));
    }
    if (names.routes.empty())
      return;
    for (auto& [host, routes] : fleet.routes) {
      std::erase_if(routes, [&](const RouteSettings& route) {
        return names.routes.count(route.kind.name) != 0;
      });
    }
    std::vector<std::string> held;
    for (const std::string& name : names.routes) {
      if (tree_.Contains("route/" + name))
        held.push_back(name);
    }
    for (auto& [host, routes] : BuildRoutes(held))
      MergeRoutes(std::move(routes), fleet.routes[host]);
    std::erase_if(fleet.routes,
                  [](const auto& item) { return item.second.empty(); });
  }

 private:
  using RoutesByHost = decltype(FleetSettings::routes);

  RoutesByHost BuildRoutes(const std::vector<std::string>& names) const {
    RoutesByHost routes_by_host;
    for (const std::string& name : names) {
      RouteSettings route = BuildRoute(name);
      routes_by_host[route.host].push_back(std::move(route));
    }
    for (auto& [host, routes] : routes_by_host)
      std::stable_sort(routes.begin(), routes.end(), IsBefore);
    return routes_by_host;
  }

  RouteSettings BuildRoute(const std::string& name) const {
    const std::string branch = "route/" + name;
    RouteSettings route;
    route.host = NormalizeHost(GetText(branch, "host"));
    route.kind = BuildCommonSettings(branch, name);
    route.kind.execution = ExecutionFromName(GetText(branch, "execution"))
                               .value_or(Execution::kSingleAttempt);
    route.kind.rank = RankFromPriority(GetInt64(branch, "priority"));
    route.kind.objective = GetMilliseconds(branch, "objective_ms");
    route.kind.affinity = GetBoolean(branch, "affinity");
    route.kind.regions = SplitList(GetText(branch, "regions"));
    const std::string service = GetText(branch, "service");
    if (!service.empty())
      route.shares.push_back({service, 1});
    for (const std::string& part : SplitList(GetText(branch, "split"))) {
      const std::size_t colon = part.rfind(':');
      const auto weight = ParseInteger(part.substr(colon + 1));
      route.shares.push_back({part.substr(0, colon), weight.value_or(0)});
    }
    return route;
  }

  void AddDrainedDomains(FleetSettings& fleet) const {
    for (const std::string& region : tree_.ChildNames("region")) {
      const std::string domains = "region/" + region + "/failure_domain";
      for (const std::string& domain : tree_.ChildNames(domains)) {
        if (GetBoolean(domains + "/" + domain, "drain"))
          fleet.drained_failure_domains.insert(domain);
      }
    }
  }

  void AddClientBlocks(const std::string& region, FleetSettings& fleet) const {
    const std::string branch = "region/" + region + "/clients";
    for (const std::string& name : tree_.ChildNames(branch)) {
      for (std::string& block :
           SplitList(GetText(branch + "/" + name, "blocks")))
        fleet.client_blocks[region].push_back(std::move(block));
    }
  }

  ServiceSettings BuildService(const std::string& name) const {
    const std::string branch = "service/" + name;
    ServiceSettings service;
    service.name = name;
    service.ttl = GetMilliseconds(branch, "ttl_ms");
    service.connect_timeout = GetMilliseconds(branch, "connect_timeout_ms");
    service.retry_budget_percent = GetInt(branch, "retry_budget_percent");
    service.normal_share_percent = GetInt(branch, "normal_share_percent");
    service.background_share_percent =
        GetInt(branch, "background_share_percent");
    service.shift_cap_percent = GetInt(branch, "shift_cap_percent");
    service.shift_window = GetMilliseconds(branch, "shift_window_ms");
    service.probe_interval = GetMilliseconds(branch, "probe_interval_ms");
    service.probe_failures = GetInt(branch, "probe_failures");
    service.health_path = GetText(branch, "health_path");
    service.endpoint_connections = GetInt(branch, "endpoint_connections");
    service.endpoint_queue_percent = GetInt(branch, "endpoint_queue_percent");
    service.endpoint_wait_percent = GetInt(branch, "endpoint_wait_percent");
    service.warmup = GetMilliseconds(branch, "warmup_ms");
    service.warmup_per_s =
        static_cast<double>(GetInt64(branch, "warmup_per_1000_s")) /
        kRatePeriodSeconds;
    AddRegions(branch, service);
    for (const std::string& kind : tree_.ChildNames(branch + "/kind"))
      service.kinds.push_back(BuildKind(branch, kind));
    std::stable_sort(service.kinds.begin(), service.kinds.end(),
                     [](const KindSettings& left, const KindSettings& right) {
                       return left.path_prefix.size() >
                              right.path_prefix.size();
                     });
    for (const std::string& endpoint : tree_.ChildNames(branch + "/endpoint"))
      service.endpoints.push_back(BuildEndpoint(branch, endpoint));
    return service;
  }

  void AddRegions(const std::string& branch, ServiceSettings& service) const {
    for (const std::string& region : tree_.ChildNames(branch + "/region")) {
      const std::string path = branch + "/region/" + region;
      service.region_ttl[region] = GetMilliseconds(path, "ttl_ms");
      if (tree_.FindEffectiveValue(path, "weight"))
        service.region_weight[region] = GetInt(path, "weight");
    }
  }

  KindSettings BuildKind(const std::string& service,
                         const std::string& name) const {
    const std::string branch = service + "/kind/" + name;
    KindSettings kind = BuildCommonSettings(branch, name);
    kind.method = GetText(branch, "method");
    kind.rank = RankFromName(GetText(branch, "rank")).value_or(Rank::kNormal);
    kind.execution = GetBoolean(branch, "repeatable") ? Execution::kRepeatable
                                                      : Execution::kAtMostOnce;
    return kind;
  }

  // Builds the settings that kinds and routes have in common.
  KindSettings BuildCommonSettings(const std::string& branch,
                                   const std::string& name) const {
    KindSettings kind;
    kind.name = name;
    kind.path_prefix = GetText(branch, "path_prefix");
    kind.request_timeout = GetMilliseconds(branch, "request_timeout_ms");
    kind.attempt_timeout = GetMilliseconds(branch, "attempt_timeout_ms");
    kind.max_attempts = GetInt(branch, "max_attempts");
    kind.queue_limit = GetInt(branch, "queue_limit");
    kind.concurrency_limit = GetInt(branch, "concurrency_limit");
    return kind;
  }

  EndpointSettings BuildEndpoint(const std::string& service,
                                 const std::string& name) const {
    const std::string branch = service + "/endpoint/" + name;
    EndpointSettings endpoint;
    endpoint.name = name;
    endpoint.address = GetText(branch, "address");
    endpoint.region = GetText(branch, "region");
    endpoint.failure_domain = GetText(branch, "failure_domain");
    endpoint.slots = GetInt(branch, "slots");
    // The branch of the failure domain inherits from `region/<name>`, so this
    // also covers the drain of a whole region.
    const std::string domain_branch = "region/" + endpoint.region +
                                      "/failure_domain/" +
                                      endpoint.failure_domain;
    endpoint.drained =
        GetBoolean(branch, "drain") || GetBoolean(domain_branch, "drain");
    return endpoint;
  }

  std::string GetText(const std::string& branch, std::string_view key) const {
    if (auto effective = tree_.FindEffectiveValue(branch, key))
      return effective->value;
    return std::string(FindTreeSetting(key)->default_value);
  }

  std::int64_t GetInt64(const std::string& branch, std::string_view key) const {
    return ParseInteger(GetText(branch, key)).value_or(0);
  }

  int GetInt(const std::string& branch, std::string_view key) const {
    return static_cast<int>(GetInt64(branch, key));
  }

  Duration GetMilliseconds(const std::string& branch,
                           std::string_view key) const {
    return std::chrono::milliseconds(GetInt64(branch, key));
  }

  bool GetBoolean(const std::string& branch, std::string_view key) const {
    return GetText(branch, key) == "true";
  }

  const Tree& tree_;
};

bool KindMatches(const KindSettings& kind,
                 std::string_view method,
                 std::string_view path) {
  if (!kind.method.empty() && kind.method != method)
    return false;
  return path.substr(0, kind.path_prefix.size()) == kind.path_prefix;
}

}  // namespace

const KindSettings* ServiceSettings::FindKind(std::string_view method,
                                              std::string_view path) const {
  for (const KindSettings& kind : kinds) {
    if (KindMatches(kind, method, path))
      return &kind;
  }
  return nullptr;
}

const RouteSettings* FleetSettings::FindRoute(std::string_view host,
                                              std::string_view path) const {
  const auto found = routes.find(host);
  if (found == routes.end())
    return nullptr;
  for (const RouteSettings& route : found->second) {
    const std::string& prefix = route.kind.path_prefix;
    if (path.substr(0, prefix.size()) == prefix)
      return &route;
  }
  return nullptr;
}

std::shared_ptr<const FleetSettings> BuildFleetSettings(
    const Tree& tree,
    std::uint64_t revision) {
  return std::make_shared<const FleetSettings>(
      FleetSettingsBuilder(tree).Build(revision));
}

std::shared_ptr<const FleetSettings> UpdateFleetSettings(
    const FleetSettings& previous,
    const Tree& tree,
    std::span<const std::string> changed_branches,
    std::uint64_t revision) {
  const auto names = FindBuiltFrom(changed_branches);
  if (!names)
    return BuildFleetSettings(tree, revision);
  FleetSettings fleet = previous;
  fleet.revision = revision;
  FleetSettingsBuilder(tree).Rebuild(*names, fleet);
  return std::make_shared<const FleetSettings>(std::move(fleet));
}

}  // namespace jacinth::settings

#include "core/settings/fleet_settings.h"

#include <algorithm>
#include <utility>

#include "core/common/split.h"
#include "core/settings/tree_table.h"

namespace jacinth::settings {
namespace {

// Period, in seconds, of rates whose key ends in `_per_1000_s`.
constexpr double kPerSecond = 1'000;

// Maps a priority, which has no fixed upper limit, to one of the three ranks.
Rank RankOfPriority(std::int64_t priority) {
  const auto last = static_cast<std::int64_t>(kRankCount) - 1;
  return kRanks[static_cast<std::size_t>(
      std::clamp<std::int64_t>(priority, 0, last))];
}

class Builder {
 public:
  explicit Builder(const Tree& tree) : tree_(tree) {}

  FleetSettings Build(std::uint64_t revision) const {
    FleetSettings fleet;
    fleet.revision = revision;
    fleet.max_body_bytes = Integer("", "max_body_bytes");
    fleet.max_header_bytes = Integer("", "max_header_bytes");
    fleet.header_timeout = Millis("", "header_timeout_ms");
    fleet.idle_timeout = Millis("", "idle_timeout_ms");
    for (const std::string& name : tree_.Children("route"))
      AddRoute(name, fleet);
    for (auto& [host, routes] : fleet.routes)
      SortByPrefix(routes);
    AddDrainedDomains(fleet);
    fleet.ledger_retention =
        std::chrono::seconds(Integer("", "ledger_retention_s"));
    for (const std::string& name : tree_.Children("service"))
      fleet.services.emplace(name, BuildService(name));
    for (const std::string& region : tree_.Children("region"))
      AddClientBlocks(region, fleet);
    for (const std::string& name : tree_.Children("entry")) {
      if (Boolean("entry/" + name, "drain"))
        fleet.entry_drains[name] = true;
    }
    return fleet;
  }

 private:
  static void SortByPrefix(std::vector<RouteSettings>& routes) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const RouteSettings& left, const RouteSettings& right) {
                       return left.kind.path_prefix.size() >
                              right.kind.path_prefix.size();
                     });
  }

  void AddRoute(const std::string& name, FleetSettings& fleet) const {
    const std::string branch = "route/" + name;
    RouteSettings route;
    route.host = Text(branch, "host");
    route.kind = BuildPolicy(branch, name);
    route.kind.execution = ExecutionFromName(Text(branch, "execution"))
                               .value_or(Execution::kSingleAttempt);
    route.kind.rank = RankOfPriority(Integer(branch, "priority"));
    route.kind.objective = Millis(branch, "objective_ms");
    route.kind.affinity = Boolean(branch, "affinity");
    route.kind.regions = SplitList(Text(branch, "regions"));
    const std::string service = Text(branch, "service");
    if (!service.empty())
      route.shares.push_back({service, 1});
    for (const std::string& part : SplitList(Text(branch, "split"))) {
      const std::size_t colon = part.rfind(':');
      const auto weight = ParseInteger(part.substr(colon + 1));
      route.shares.push_back(
          {part.substr(0, colon), static_cast<int>(weight.value_or(0))});
    }
    fleet.routes[route.host].push_back(std::move(route));
  }

  void AddDrainedDomains(FleetSettings& fleet) const {
    for (const std::string& region : tree_.Children("region")) {
      const std::string domains = "region/" + region + "/failure_domain";
      for (const std::string& domain : tree_.Children(domains)) {
        if (Boolean(domains + "/" + domain, "drain"))
          fleet.drained_domains.insert(domain);
      }
    }
  }

  void AddClientBlocks(const std::string& region, FleetSettings& fleet) const {
    const std::string branch = "region/" + region + "/clients";
    for (const std::string& name : tree_.Children(branch)) {
      for (std::string& block : SplitList(Text(branch + "/" + name, "blocks")))
        fleet.client_blocks[region].push_back(std::move(block));
    }
  }

  ServiceSettings BuildService(const std::string& name) const {
    const std::string branch = "service/" + name;
    ServiceSettings service;
    service.name = name;
    service.ttl = Millis(branch, "ttl_ms");
    service.connect_timeout = Millis(branch, "connect_timeout_ms");
    service.retry_budget_percent = Small(branch, "retry_budget_percent");
    service.normal_share_percent = Small(branch, "normal_share_percent");
    service.background_share_percent =
        Small(branch, "background_share_percent");
    service.shift_cap_percent = Small(branch, "shift_cap_percent");
    service.shift_window = Millis(branch, "shift_window_ms");
    service.probe_interval = Millis(branch, "probe_interval_ms");
    service.probe_failures = Small(branch, "probe_failures");
    service.health_path = Text(branch, "health_path");
    service.endpoint_connections = Small(branch, "endpoint_connections");
    service.endpoint_queue_percent = Small(branch, "endpoint_queue_percent");
    service.endpoint_wait_percent = Small(branch, "endpoint_wait_percent");
    service.warmup = Millis(branch, "warmup_ms");
    service.warmup_per_s =
        static_cast<double>(Integer(branch, "warmup_per_1000_s")) / kPerSecond;
    AddRegions(branch, service);
    for (const std::string& kind : tree_.Children(branch + "/kind"))
      service.kinds.push_back(BuildKind(branch, kind));
    std::stable_sort(service.kinds.begin(), service.kinds.end(),
                     [](const KindSettings& left, const KindSettings& right) {
                       return left.path_prefix.size() >
                              right.path_prefix.size();
                     });
    for (const std::string& endpoint : tree_.Children(branch + "/endpoint"))
      service.endpoints.push_back(BuildEndpoint(branch, endpoint));
    return service;
  }

  void AddRegions(const std::string& branch, ServiceSettings& service) const {
    for (const std::string& region : tree_.Children(branch + "/region")) {
      const std::string path = branch + "/region/" + region;
      service.region_ttl[region] = Millis(path, "ttl_ms");
      if (tree_.Effective(path, "weight"))
        service.region_weight[region] = Small(path, "weight");
    }
  }

  KindSettings BuildKind(const std::string& service,
                         const std::string& name) const {
    const std::string branch = service + "/kind/" + name;
    KindSettings kind = BuildPolicy(branch, name);
    kind.method = Text(branch, "method");
    kind.rank = RankFromName(Text(branch, "rank")).value_or(Rank::kNormal);
    kind.execution = Boolean(branch, "repeatable") ? Execution::kRepeatable
                                                   : Execution::kAtMostOnce;
    return kind;
  }

  // Builds the settings that kinds and routes have in common.
  KindSettings BuildPolicy(const std::string& branch,
                           const std::string& name) const {
    KindSettings kind;
    kind.name = name;
    kind.path_prefix = Text(branch, "path_prefix");
    kind.request_timeout = Millis(branch, "request_timeout_ms");
    kind.attempt_timeout = Millis(branch, "attempt_timeout_ms");
    kind.max_attempts = Small(branch, "max_attempts");
    kind.queue_limit = Small(branch, "queue_limit");
    kind.concurrency_limit = Small(branch, "concurrency_limit");
    return kind;
  }

  EndpointSettings BuildEndpoint(const std::string& service,
                                 const std::string& name) const {
    const std::string branch = service + "/endpoint/" + name;
    EndpointSettings endpoint;
    endpoint.name = name;
    endpoint.address = Text(branch, "address");
    endpoint.region = Text(branch, "region");
    endpoint.failure_domain = Text(branch, "failure_domain");
    endpoint.slots = Small(branch, "slots");
    // The branch of the failure domain inherits from `region/<name>`, so this
    // also covers the drain of a whole region.
    const std::string place = "region/" + endpoint.region + "/failure_domain/" +
                              endpoint.failure_domain;
    endpoint.drained = Boolean(branch, "drain") || Boolean(place, "drain");
    return endpoint;
  }

  std::string Text(const std::string& branch, std::string_view key) const {
    if (auto set = tree_.Effective(branch, key))
      return set->value;
    return std::string(FindTreeSetting(key)->default_value);
  }

  std::int64_t Integer(const std::string& branch, std::string_view key) const {
    return ParseInteger(Text(branch, key)).value_or(0);
  }

  int Small(const std::string& branch, std::string_view key) const {
    return static_cast<int>(Integer(branch, key));
  }

  Duration Millis(const std::string& branch, std::string_view key) const {
    return std::chrono::milliseconds(Integer(branch, key));
  }

  bool Boolean(const std::string& branch, std::string_view key) const {
    return Text(branch, key) == "true";
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
  return std::make_shared<const FleetSettings>(Builder(tree).Build(revision));
}

}  // namespace jacinth::settings

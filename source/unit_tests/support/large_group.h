#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include "unit_tests/support/control_cluster.h"

namespace jacinth::test {

/// A control group of a large fleet: fifteen machines in nine failure domains
/// of three regions, five voters, the replicas' times on the platform, and an
/// operator.
class LargeGroup {
 public:
  static constexpr std::size_t kMachines = 15;
  static constexpr std::size_t kRegions = 3;
  static constexpr std::size_t kDomainsPerRegion = 3;
  static constexpr std::size_t kVoters = 5;
  /// The platform's bounds: time after the last disturbance from which the
  /// group counts as stable, and time within which it must acknowledge a change
  /// then.
  static constexpr Duration kContact = 4s;
  static constexpr Duration kMaxAck = 5s;

  /// The contacts, which are the first machines, stand in one region or in all.
  enum class Contacts { kInOneRegion, kInAllRegions };

  static std::size_t RegionOf(Contacts contacts, std::size_t machine) {
    return contacts == Contacts::kInOneRegion ? machine / (kMachines / kRegions)
                                              : machine % kRegions;
  }

  LargeGroup(std::uint64_t seed, Contacts contacts)
      : cluster(seed,
                {kMachines, 3, kVoters, 500ms, 120ms, 2'500ms,
                 contacts == Contacts::kInOneRegion
                     ? &LocationOf<Contacts::kInOneRegion>
                     : &LocationOf<Contacts::kInAllRegions>}),
        contacts_(contacts) {
    cluster.loss_percent = 0;
    cluster.duplicate_percent = 0;
  }

  /// Returns the voters by instance; empty without a leader, or while a change
  /// of them isn't committed.
  std::set<std::string> Voters() const {
    std::set<std::string> voters;
    const auto leader = cluster.Leader();
    if (!leader)
      return voters;
    const auto* replica = cluster.node(*leader)->replica();
    if (!replica->ConfigurationSettled())
      return voters;
    for (const std::string& id : replica->configuration().voters)
      voters.emplace(protocol::InstanceFromReplicaId(id));
    return voters;
  }

  bool IsVoter(std::size_t machine) const {
    return Voters().count(cluster.instance(machine)) != 0;
  }

  bool IsInRegion(std::size_t machine, std::size_t region) const {
    return RegionOf(contacts_, machine) == region;
  }

  /// Returns the largest number of voters in one region.
  std::size_t MostInRegion() const {
    std::map<std::size_t, std::size_t> counts;
    std::size_t most = 0;
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (IsVoter(i))
        most = std::max(most, ++counts[RegionOf(contacts_, i)]);
    }
    return most;
  }

  void CrashRegion(std::size_t region) {
    for (std::size_t i = 0; i < kMachines; ++i) {
      if (IsInRegion(i, region))
        cluster.Crash(i);
    }
  }

  void RestartAll() {
    for (std::size_t i = 0; i < kMachines; ++i)
      cluster.Restart(i);
  }

  /// Sends a change to all running replicas each second until it is
  /// acknowledged, for `limit` at most. Returns the time that this takes.
  std::optional<Duration> AcknowledgeChange(Duration limit = 20s) {
    bool acknowledged = false;
    cluster.on_admin_reply = [&](const control::AdminReply& reply) {
      acknowledged |=
          std::holds_alternative<control::ChangeAccepted>(reply.body);
    };
    const std::string key = "s" + std::to_string(++changes_);
    const Time sent = cluster.now();
    Time next_attempt = sent;
    while (!acknowledged && cluster.now() < sent + limit) {
      const bool sends = cluster.now() >= next_attempt;
      if (sends)
        next_attempt = cluster.now() + 1s;
      for (std::size_t i = 0; sends && i < kMachines; ++i) {
        control::ChangeRequested request;
        request.ticket = ++ticket_;
        request.operator_settings.branches = {"*"};
        request.change.idempotency_key = key;
        request.change.any_revision = true;
        request.change.changes = {{"service/" + key, {{"ttl_ms", "500"}}}};
        cluster.InjectEvent(i, request);
      }
      cluster.Run(5ms);
    }
    cluster.on_admin_reply = nullptr;
    if (!acknowledged)
      return std::nullopt;
    return cluster.now() - sent;
  }

  /// Advances the time beside clients whose requests are logged.
  void RunWithClaims(Duration duration) {
    for (const Time end = cluster.now() + duration; cluster.now() < end;) {
      const std::string number = std::to_string(++claims_);
      if (const auto leader = cluster.Leader()) {
        cluster.SendFromEntry(
            "e1", *leader,
            protocol::ClaimRequest{
                "e1/1/" + number, {"caller", number}, 1, 5'000, ""});
      }
      cluster.Run(50ms);
    }
  }

  ControlCluster cluster;

 private:
  template <Contacts contacts>
  static protocol::Location LocationOf(std::size_t machine) {
    const std::string region =
        "r" + std::to_string(RegionOf(contacts, machine));
    const std::size_t domain =
        contacts == Contacts::kInOneRegion ? machine : machine / kRegions;
    return {region, region + "-" + std::to_string(domain % kDomainsPerRegion)};
  }

  Contacts contacts_;
  control::AdminTicket ticket_ = 0;
  int changes_ = 0;
  int claims_ = 0;
};

}  // namespace jacinth::test

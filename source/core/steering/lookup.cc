#include "core/steering/lookup.h"

#include <algorithm>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;
using settings::FleetSettings;
using settings::ServiceSettings;

constexpr int kHomeWeight = 100;
constexpr int kStandbyWeight = 0;

bool IsUsable(const EntryStatus& entry, const FleetSettings& fleet) {
  return !entry.draining && fleet.entry_drains.count(entry.id) == 0;
}

std::vector<EntryStatus> Candidates(const SteeringSnapshot& snapshot,
                                    Time now) {
  std::vector<EntryStatus> candidates;
  for (const EntryStatus& member : snapshot.members) {
    if (!IsUsable(member, *snapshot.fleet))
      continue;
    // Cut off from the control role, this instance leaves the look-ups.
    if (member.id == snapshot.self.id && now >= snapshot.contact_until)
      continue;
    candidates.push_back(member);
  }
  const bool alone =
      candidates.empty() && IsUsable(snapshot.self, *snapshot.fleet);
  if (alone)
    candidates.push_back(snapshot.self);
  return candidates;
}

int WeightOf(const EntryStatus& entry,
             const ServiceSettings& service,
             const std::string& home) {
  if (!service.region_weight.empty()) {
    const auto row = service.region_weight.find(entry.region);
    return row == service.region_weight.end() ? kStandbyWeight : row->second;
  }
  return entry.region == home ? kHomeWeight : kStandbyWeight;
}

// The region that the caller's address belongs to.
Result<std::string> HomeRegion(const SteeringSnapshot& snapshot,
                               std::string_view client) {
  if (client.empty())
    return snapshot.self.region;
  const auto address = ParseIpv4(client);
  if (!address)
    return Fail(ErrorKind::kBadRequest, "client must be an IPv4 address");
  if (snapshot.clients == nullptr)
    return snapshot.self.region;
  return snapshot.clients->RegionOf(*address).value_or(snapshot.self.region);
}

// Without any positive weight, every entry is as good as another.
void SpreadIfAllStandby(std::vector<LookupEntry>& entries) {
  const bool any =
      std::any_of(entries.begin(), entries.end(),
                  [](const LookupEntry& entry) { return entry.weight > 0; });
  if (any)
    return;
  for (LookupEntry& entry : entries)
    entry.weight = kHomeWeight;
}

}  // namespace

Result<LookupAnswer> AnswerLookup(const SteeringSnapshot& snapshot,
                                  std::string_view service,
                                  std::string_view client,
                                  Time now) {
  if (snapshot.fleet == nullptr)
    return Fail(ErrorKind::kNotReady, "no settings received yet");
  const auto found = snapshot.fleet->services.find(std::string(service));
  if (found == snapshot.fleet->services.end()) {
    return Fail(ErrorKind::kUnknownService,
                "no service called " + std::string(service));
  }
  const auto home = HomeRegion(snapshot, client);
  if (!home)
    return tl::unexpected(home.error());
  const ServiceSettings& settings = found->second;
  LookupAnswer answer;
  answer.service = settings.name;
  answer.revision = snapshot.fleet->revision;
  answer.ttl = settings.ttl;
  const auto region_ttl = settings.region_ttl.find(*home);
  if (region_ttl != settings.region_ttl.end())
    answer.ttl = region_ttl->second;
  for (const EntryStatus& entry : Candidates(snapshot, now)) {
    answer.entries.push_back({entry.address, entry.region, entry.failure_domain,
                              WeightOf(entry, settings, *home)});
  }
  if (answer.entries.empty())
    return Fail(ErrorKind::kNotReady, "no entry instance can be named");
  SpreadIfAllStandby(answer.entries);
  std::stable_sort(answer.entries.begin(), answer.entries.end(),
                   [](const LookupEntry& left, const LookupEntry& right) {
                     return left.weight > right.weight;
                   });
  return answer;
}

}  // namespace jacinth::steering

#include "core/steering/lookup.h"

#include <algorithm>

#include "core/steering/isolated_entries.h"

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;
using settings::FleetSettings;
using settings::ServiceSettings;

/// Weights of the entries in the caller's region and of standby entries if the
/// service has no weights per region.
constexpr int kHomeWeight = 100;
constexpr int kStandbyWeight = 0;
/// Maximum numbers of preferred and of standby entries in one answer.
constexpr std::size_t kMaxPreferred = 8;
constexpr std::size_t kMaxStandby = 8;

bool IsUsable(const EntryStatus& entry, const FleetSettings& fleet) {
  return !entry.draining && fleet.drained_entries.count(entry.id) == 0;
}

// Returns the entries that an answer may contain. If there are none, returns
// this instance unless it is drained, even without contact with the control
// role.
std::vector<const EntryStatus*> CandidateEntries(
    const SteeringSnapshot& snapshot,
    Time now) {
  std::vector<const EntryStatus*> candidates;
  candidates.reserve(snapshot.members.size());
  for (const EntryStatus& member : snapshot.members) {
    if (!IsUsable(member, *snapshot.fleet))
      continue;
    // An instance without contact with the control role omits itself.
    if (member.id == snapshot.self.id && now >= snapshot.contact_until)
      continue;
    candidates.push_back(&member);
  }
  DropIsolated(snapshot, candidates);
  const bool use_self =
      candidates.empty() && IsUsable(snapshot.self, *snapshot.fleet);
  if (use_self)
    candidates.push_back(&snapshot.self);
  return candidates;
}

int WeightOf(const EntryStatus& entry,
             const ServiceSettings& service,
             const std::string& home_region) {
  if (!service.region_weight.empty()) {
    const auto it = service.region_weight.find(entry.region);
    return it == service.region_weight.end() ? kStandbyWeight : it->second;
  }
  return entry.region == home_region ? kHomeWeight : kStandbyWeight;
}

// Returns the region of the caller's address, or the region of this instance if
// the address is empty or in no known block.
Result<std::string> HomeRegion(const SteeringSnapshot& snapshot,
                               std::string_view client) {
  if (client.empty())
    return snapshot.self.region;
  const auto address = ParseIpv4(client);
  if (!address)
    return Fail(ErrorKind::kBadRequest,
                "the client parameter must be an IPv4 address");
  if (snapshot.clients == nullptr)
    return snapshot.self.region;
  return snapshot.clients->RegionOf(*address).value_or(snapshot.self.region);
}

LookupEntry MakeLookupEntry(const EntryStatus& entry, int weight) {
  return {entry.address, entry.region, entry.failure_domain, weight};
}

// Appends up to `limit` of the entries, starting at `offset` modulo their
// number, so that callers are spread over all of them.
void AppendEntries(const std::vector<const EntryStatus*>& entries,
                   const std::vector<int>& weights,
                   std::size_t limit,
                   std::uint64_t offset,
                   std::vector<LookupEntry>& selected) {
  const std::size_t count = std::min(limit, entries.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (offset + i) % entries.size();
    selected.push_back(MakeLookupEntry(*entries[index], weights[index]));
  }
}

// Selects the entries of an answer: those with a positive weight first, then
// standby entries. If no entry has a positive weight, all get the same one.
std::vector<LookupEntry> SelectEntries(
    const std::vector<const EntryStatus*>& candidates,
    const ServiceSettings& service,
    const std::string& home_region,
    std::uint64_t offset) {
  std::vector<const EntryStatus*> preferred;
  std::vector<const EntryStatus*> standby;
  std::vector<int> weights;
  for (const EntryStatus* entry : candidates) {
    const int weight = WeightOf(*entry, service, home_region);
    if (weight <= 0) {
      standby.push_back(entry);
      continue;
    }
    preferred.push_back(entry);
    weights.push_back(weight);
  }
  std::vector<LookupEntry> selected;
  if (preferred.empty()) {
    AppendEntries(standby, std::vector<int>(standby.size(), kHomeWeight),
                  kMaxPreferred, offset, selected);
    return selected;
  }
  AppendEntries(preferred, weights, kMaxPreferred, offset, selected);
  AppendEntries(standby, std::vector<int>(standby.size(), kStandbyWeight),
                kMaxStandby, offset, selected);
  return selected;
}

}  // namespace

Result<LookupAnswer> AnswerLookup(const SteeringSnapshot& snapshot,
                                  std::string_view service,
                                  std::string_view client,
                                  std::uint64_t offset,
                                  Time now) {
  if (snapshot.fleet == nullptr)
    return Fail(ErrorKind::kNotReady,
                "no settings received from the control role yet");
  const auto found = snapshot.fleet->services.find(std::string(service));
  if (found == snapshot.fleet->services.end()) {
    if (now >= snapshot.contact_until) {
      return Fail(ErrorKind::kNotReady, "service " + std::string(service) +
                                            " is not in the settings here, "
                                            "which may be outdated");
    }
    return Fail(ErrorKind::kUnknownService,
                "unknown service " + std::string(service));
  }
  const auto home_region = HomeRegion(snapshot, client);
  if (!home_region)
    return tl::unexpected(home_region.error());
  const ServiceSettings& settings = found->second;
  LookupAnswer answer;
  answer.service = settings.name;
  answer.revision = snapshot.fleet->revision;
  answer.ttl = settings.ttl;
  const auto region_ttl = settings.region_ttl.find(*home_region);
  if (region_ttl != settings.region_ttl.end())
    answer.ttl = region_ttl->second;
  answer.entries = SelectEntries(CandidateEntries(snapshot, now), settings,
                                 *home_region, offset);
  if (answer.entries.empty())
    return Fail(ErrorKind::kNotReady, "no entry instance is usable");
  return answer;
}

}  // namespace jacinth::steering

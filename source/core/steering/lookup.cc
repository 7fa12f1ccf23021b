#include "core/steering/lookup.h"

#include <algorithm>

namespace jacinth::steering {
namespace {

using protocol::EntryStatus;
using settings::FleetSettings;
using settings::ServiceSettings;

constexpr int kHomeWeight = 100;
constexpr int kStandbyWeight = 0;
/// Most entries named in one answer, those with a weight and the others.
constexpr std::size_t kMaxPreferred = 8;
constexpr std::size_t kMaxStandby = 8;

bool IsUsable(const EntryStatus& entry, const FleetSettings& fleet) {
  return !entry.draining && fleet.entry_drains.count(entry.id) == 0;
}

std::vector<const EntryStatus*> Candidates(const SteeringSnapshot& snapshot,
                                           Time now) {
  std::vector<const EntryStatus*> candidates;
  candidates.reserve(snapshot.members.size());
  for (const EntryStatus& member : snapshot.members) {
    if (!IsUsable(member, *snapshot.fleet))
      continue;
    // Cut off from the control role, this instance leaves the look-ups.
    if (member.id == snapshot.self.id && now >= snapshot.contact_until)
      continue;
    candidates.push_back(&member);
  }
  const bool alone =
      candidates.empty() && IsUsable(snapshot.self, *snapshot.fleet);
  if (alone)
    candidates.push_back(&snapshot.self);
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

LookupEntry Name(const EntryStatus& entry, int weight) {
  return {entry.address, entry.region, entry.failure_domain, weight};
}

// Adds up to `limit` of the entries, beginning at a place drawn by `draw`, so
// that callers spread over all of them.
void NameSome(const std::vector<const EntryStatus*>& entries,
              const std::vector<int>& weights,
              std::size_t limit,
              std::uint64_t draw,
              std::vector<LookupEntry>& named) {
  const std::size_t count = std::min(limit, entries.size());
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t at = (draw + i) % entries.size();
    named.push_back(Name(*entries[at], weights[at]));
  }
}

// The entries to name: those with a weight first, then some that stand by. If
// none has a weight, each is as good as another.
std::vector<LookupEntry> NameEntries(
    const std::vector<const EntryStatus*>& candidates,
    const ServiceSettings& service,
    const std::string& home,
    std::uint64_t draw) {
  std::vector<const EntryStatus*> preferred;
  std::vector<const EntryStatus*> standby;
  std::vector<int> weights;
  for (const EntryStatus* entry : candidates) {
    const int weight = WeightOf(*entry, service, home);
    if (weight <= 0) {
      standby.push_back(entry);
      continue;
    }
    preferred.push_back(entry);
    weights.push_back(weight);
  }
  std::vector<LookupEntry> named;
  if (preferred.empty()) {
    NameSome(standby, std::vector<int>(standby.size(), kHomeWeight),
             kMaxPreferred, draw, named);
    return named;
  }
  NameSome(preferred, weights, kMaxPreferred, draw, named);
  NameSome(standby, std::vector<int>(standby.size(), kStandbyWeight),
           kMaxStandby, draw, named);
  return named;
}

}  // namespace

Result<LookupAnswer> AnswerLookup(const SteeringSnapshot& snapshot,
                                  std::string_view service,
                                  std::string_view client,
                                  std::uint64_t draw,
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
  answer.entries =
      NameEntries(Candidates(snapshot, now), settings, *home, draw);
  if (answer.entries.empty())
    return Fail(ErrorKind::kNotReady, "no entry instance can be named");
  return answer;
}

}  // namespace jacinth::steering

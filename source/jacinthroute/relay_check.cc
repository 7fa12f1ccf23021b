#include "jacinthroute/relay_check.h"

#include <algorithm>
#include <random>

namespace jacinth {
namespace {

/// Incarnations of earlier builds are below this, and all others above.
constexpr std::uint64_t kMinIncarnation = std::uint64_t{1} << 32U;

}  // namespace

std::uint64_t MakeIncarnation() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution(kMinIncarnation);
  return distribution(device);
}

bool IsFromEntry(const RelayTag& tag,
                 const protocol::EntryStatus& self,
                 const std::vector<protocol::EntryStatus>& members) {
  if (tag.entry.empty())
    return false;
  if (tag.key != 0)
    return tag.key == self.incarnation;
  return std::any_of(
      members.begin(), members.end(), [&](const protocol::EntryStatus& member) {
        return member.id == tag.entry && member.incarnation < kMinIncarnation;
      });
}

RelayTag MakeRelayTag(const std::string& self, const entry::StartRelay& relay) {
  return {.entry = self,
          .revision = relay.revision,
          .decision = relay.decision,
          .key = relay.incarnation};
}

void ApplyRelayTag(const RelayTag& tag,
                   const protocol::EntryStatus& self,
                   const std::vector<protocol::EntryStatus>& members,
                   entry::RequestArrived& arrival) {
  if (!IsFromEntry(tag, self, members))
    return;
  arrival.relayed = true;
  arrival.relay_revision = tag.revision;
  arrival.relay_decision = tag.decision;
}

}  // namespace jacinth

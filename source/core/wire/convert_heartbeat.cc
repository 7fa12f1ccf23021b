#include <algorithm>

#include "core/wire/convert.h"

namespace jacinth::wire {
namespace {

/// Longest age that is passed on, far beyond any that is told apart.
constexpr std::int64_t kMaxListingAgeMs = 3'600'000;

generated::EntryStatus StatusToWire(const protocol::EntryStatus& status) {
  generated::EntryStatus out;
  out.id = status.id;
  out.incarnation = static_cast<std::int64_t>(status.incarnation);
  out.region = status.region;
  out.failure_domain = status.failure_domain;
  out.address = status.address;
  out.revision = static_cast<std::int64_t>(status.revision);
  out.draining = status.draining;
  out.isolated = status.isolated;
  if (status.starting)
    out.__set_starting(true);
  if (status.lost)
    out.__set_lost(true);
  return out;
}

protocol::EntryStatus StatusFromWire(const generated::EntryStatus& status) {
  protocol::EntryStatus out;
  out.id = status.id;
  out.incarnation = static_cast<std::uint64_t>(status.incarnation);
  out.region = status.region;
  out.failure_domain = status.failure_domain;
  out.address = status.address;
  out.revision = static_cast<std::uint64_t>(status.revision);
  out.draining = status.draining;
  out.isolated = status.isolated;
  out.starting = status.__isset.starting && status.starting;
  out.lost = status.__isset.lost && status.lost;
  return out;
}

generated::MemberList MembersToWire(const protocol::MemberList& members) {
  generated::MemberList out;
  out.version = static_cast<std::int64_t>(members.version);
  for (const auto& entry : members.entries)
    out.entries.push_back(StatusToWire(entry));
  if (members.base != 0) {
    out.__set_base(static_cast<std::int64_t>(members.base));
    out.__set_removed(members.removed);
  }
  return out;
}

protocol::MemberList MembersFromWire(const generated::MemberList& members) {
  protocol::MemberList out;
  out.version = static_cast<std::uint64_t>(members.version);
  for (const auto& entry : members.entries)
    out.entries.push_back(StatusFromWire(entry));
  out.base = static_cast<std::uint64_t>(members.base);
  out.removed = members.removed;
  return out;
}

std::vector<generated::DrainReport> DrainsToWire(
    const std::vector<protocol::DrainReport>& drains) {
  std::vector<generated::DrainReport> out;
  out.reserve(drains.size());
  for (const protocol::DrainReport& report : drains)
    out.push_back(ToWire(report));
  return out;
}

std::vector<protocol::DrainReport> DrainsFromWire(
    const std::vector<generated::DrainReport>& drains) {
  std::vector<protocol::DrainReport> out;
  out.reserve(drains.size());
  for (const generated::DrainReport& report : drains)
    out.push_back(FromWire(report));
  return out;
}

generated::ListingState ListingToWire(const protocol::ListingState& listing) {
  generated::ListingState out;
  out.version = static_cast<std::int64_t>(listing.version);
  out.sent_version = static_cast<std::int64_t>(listing.sent_version);
  out.age_ms = listing.age_ms;
  if (listing.interval_ms != 0)
    out.__set_interval_ms(listing.interval_ms);
  return out;
}

protocol::ListingState ListingFromWire(const generated::ListingState& listing) {
  protocol::ListingState out;
  out.version = static_cast<std::uint64_t>(listing.version);
  out.sent_version = static_cast<std::uint64_t>(listing.sent_version);
  out.age_ms = std::min(listing.age_ms, kMaxListingAgeMs);
  out.interval_ms =
      std::clamp<std::int64_t>(listing.interval_ms, 0, kMaxListingAgeMs);
  return out;
}

}  // namespace

generated::Heartbeat ToWire(const protocol::Heartbeat& heartbeat) {
  generated::Heartbeat out;
  out.status = StatusToWire(heartbeat.status);
  out.members_version = static_cast<std::int64_t>(heartbeat.members_version);
  out.endpoints_version =
      static_cast<std::int64_t>(heartbeat.endpoints_version);
  out.slices_version = static_cast<std::int64_t>(heartbeat.slices_version);
  for (const protocol::SliceClaim& claim : heartbeat.claims)
    out.claims.push_back(ToWire(claim));
  for (const protocol::SliceUse& use : heartbeat.uses)
    out.uses.push_back(ToWire(use));
  out.rate_shares_version =
      static_cast<std::int64_t>(heartbeat.rate_shares_version);
  for (const protocol::RateLimitReport& report : heartbeat.rate_limits)
    out.rate_limits.push_back(ToWire(report));
  if (heartbeat.settings_position)
    out.__set_settings_position(ToWire(*heartbeat.settings_position));
  for (const protocol::CrashReport& report : heartbeat.crashes)
    out.crashes.push_back(ToWire(report));
  out.__isset.crashes = !out.crashes.empty();
  out.acquitted.assign(heartbeat.acquitted.begin(), heartbeat.acquitted.end());
  out.__isset.acquitted = !out.acquitted.empty();
  out.suspects_version = static_cast<std::int64_t>(heartbeat.suspects_version);
  out.__isset.suspects_version = out.suspects_version != 0;
  if (heartbeat.takes_suspect_changes)
    out.__set_takes_suspect_changes(true);
  if (heartbeat.takes_share_changes)
    out.__set_takes_share_changes(true);
  if (!heartbeat.drains.empty())
    out.__set_drains(DrainsToWire(heartbeat.drains));
  if (heartbeat.takes_changes)
    out.__set_takes_changes(true);
  if (heartbeat.endpoint_digest)
    out.__set_endpoint_digest(*heartbeat.endpoint_digest);
  if (heartbeat.slice_digest)
    out.__set_slice_digest(*heartbeat.slice_digest);
  if (heartbeat.lacks_endpoints)
    out.__set_lacks_endpoints(true);
  if (heartbeat.asks_listing)
    out.__set_asks_listing(true);
  if (heartbeat.lacks_settings)
    out.__set_lacks_settings(true);
  if (heartbeat.lacks_members)
    out.__set_lacks_members(true);
  out.sequence = static_cast<std::int64_t>(heartbeat.sequence);
  return out;
}

Result<protocol::Heartbeat> FromWire(const generated::Heartbeat& heartbeat) {
  protocol::Heartbeat out;
  out.status = StatusFromWire(heartbeat.status);
  out.members_version = static_cast<std::uint64_t>(heartbeat.members_version);
  out.endpoints_version =
      static_cast<std::uint64_t>(heartbeat.endpoints_version);
  out.slices_version = static_cast<std::uint64_t>(heartbeat.slices_version);
  for (const generated::SliceClaim& claim : heartbeat.claims) {
    auto converted = FromWire(claim);
    if (!converted)
      return tl::unexpected(converted.error());
    out.claims.push_back(*converted);
  }
  for (const generated::SliceUse& use : heartbeat.uses)
    out.uses.push_back(FromWire(use));
  out.rate_shares_version =
      static_cast<std::uint64_t>(heartbeat.rate_shares_version);
  for (const generated::RateLimitReport& report : heartbeat.rate_limits)
    out.rate_limits.push_back(FromWire(report));
  if (heartbeat.__isset.settings_position)
    out.settings_position = FromWire(heartbeat.settings_position);
  for (const generated::CrashReport& report : heartbeat.crashes)
    out.crashes.push_back(FromWire(report));
  out.acquitted.assign(heartbeat.acquitted.begin(), heartbeat.acquitted.end());
  out.suspects_version = static_cast<std::uint64_t>(heartbeat.suspects_version);
  out.takes_suspect_changes = heartbeat.takes_suspect_changes;
  out.takes_share_changes = heartbeat.takes_share_changes;
  if (heartbeat.__isset.drains)
    out.drains = DrainsFromWire(heartbeat.drains);
  out.takes_changes = heartbeat.takes_changes;
  if (heartbeat.__isset.endpoint_digest)
    out.endpoint_digest = heartbeat.endpoint_digest;
  if (heartbeat.__isset.slice_digest)
    out.slice_digest = heartbeat.slice_digest;
  out.lacks_endpoints = heartbeat.lacks_endpoints;
  out.asks_listing = heartbeat.asks_listing;
  out.lacks_settings = heartbeat.lacks_settings;
  out.lacks_members = heartbeat.lacks_members;
  out.sequence = static_cast<std::uint64_t>(heartbeat.sequence);
  return out;
}

generated::HeartbeatReply ToWire(const protocol::HeartbeatReply& reply) {
  generated::HeartbeatReply out;
  out.sequence = static_cast<std::int64_t>(reply.sequence);
  out.leader = reply.leader;
  out.leader_hint = reply.leader_hint;
  out.revision = static_cast<std::int64_t>(reply.revision);
  if (reply.update.revision != 0)
    out.__set_update(ToWire(reply.update));
  if (reply.members.version != 0)
    out.__set_members(MembersToWire(reply.members));
  if (reply.endpoints.version != 0)
    out.__set_endpoints(ToWire(reply.endpoints));
  out.replicas = reply.replicas;
  if (reply.slices.version != 0)
    out.__set_slices(ToWire(reply.slices));
  if (reply.rate_shares.version != 0)
    out.__set_rate_shares(ToWire(reply.rate_shares));
  if (reply.settings_piece.position.revision != 0)
    out.__set_settings_piece(ToWire(reply.settings_piece));
  if (reply.suspects.version != 0)
    out.__set_suspects(ToWire(reply.suspects));
  if (reply.term != 0)
    out.__set_term(static_cast<std::int64_t>(reply.term));
  if (!reply.drains.empty())
    out.__set_drains(DrainsToWire(reply.drains));
  if (reply.listing)
    out.__set_listing(ListingToWire(*reply.listing));
  if (reply.sent_members_version != 0) {
    out.__set_sent_members_version(
        static_cast<std::int64_t>(reply.sent_members_version));
  }
  return out;
}

protocol::HeartbeatReply FromWire(const generated::HeartbeatReply& reply) {
  protocol::HeartbeatReply out;
  out.sequence = static_cast<std::uint64_t>(reply.sequence);
  out.leader = reply.leader;
  out.leader_hint = reply.leader_hint;
  out.revision = static_cast<std::uint64_t>(reply.revision);
  if (reply.__isset.update)
    out.update = FromWire(generated::SettingsUpdate(reply.update));
  if (reply.__isset.members)
    out.members = MembersFromWire(reply.members);
  if (reply.__isset.endpoints)
    out.endpoints = FromWire(reply.endpoints);
  out.replicas = reply.replicas;
  if (reply.__isset.slices)
    out.slices = FromWire(reply.slices);
  if (reply.__isset.rate_shares)
    out.rate_shares = FromWire(reply.rate_shares);
  if (reply.__isset.settings_piece)
    out.settings_piece = FromWire(reply.settings_piece);
  if (reply.__isset.suspects)
    out.suspects = FromWire(reply.suspects);
  out.term = static_cast<std::uint64_t>(reply.term);
  if (reply.__isset.drains)
    out.drains = DrainsFromWire(reply.drains);
  const bool has_listing = reply.__isset.listing && reply.listing.age_ms >= 0 &&
                           reply.listing.version >= 0 &&
                           reply.listing.sent_version >= 0;
  if (has_listing)
    out.listing = ListingFromWire(reply.listing);
  out.sent_members_version =
      static_cast<std::uint64_t>(reply.sent_members_version);
  return out;
}

}  // namespace jacinth::wire

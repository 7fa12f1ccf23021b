#include "core/control/settings_sender.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/protocol/change_scope.h"
#include "core/wire/settings_packing.h"

namespace jacinth::control {
namespace {

/// Largest piece, which takes a link of 2 Mbit/s for 200 ms. The next one
/// follows a round trip later, which can take a second at a busy link, so that
/// a change of more than a thousand routes has to fit into one or two.
constexpr std::size_t kPieceBytes = 48UL * 1024;
/// Time after which an unconfirmed piece is taken to be lost.
constexpr Duration kResendPieceAfter = 1s;
/// The same for a whole update, which can take seconds on a narrow link.
constexpr Duration kResendWholeAfter = 3s;
/// Number of packed updates that are kept beside those that are being sent.
constexpr std::size_t kMaxUnusedUpdates = 8;

}  // namespace

void SettingsSender::Reset() {
  entries_.clear();
  packed_.clear();
  whole_ = {};
}

void SettingsSender::RetainEntries(const std::set<std::string>& entries) {
  std::erase_if(entries_, [&](const auto& item) {
    return entries.count(item.first) == 0;
  });
}

void SettingsSender::OnHeartbeat(const std::string& entry,
                                 const protocol::Heartbeat& heartbeat) {
  EntryState& state = entries_[entry];
  const bool is_unchanged = state.held_revision == heartbeat.status.revision &&
                            state.position == heartbeat.settings_position;
  if (heartbeat.lacks_settings)
    state.sent.reset();
  if (is_unchanged)
    return;
  state.incarnation = heartbeat.status.incarnation;
  state.held_revision = heartbeat.status.revision;
  state.position = heartbeat.settings_position;
  state.sent.reset();
}

void SettingsSender::AddNext(const std::string& entry,
                             std::uint64_t current,
                             const MakeUpdate& make_update,
                             protocol::HeartbeatReply& reply,
                             Time now) {
  EntryState& state = entries_[entry];
  const Duration resend_after =
      state.position ? kResendPieceAfter : kResendWholeAfter;
  const bool may_be_on_its_way = state.sent && now < *state.sent + resend_after;
  if (state.held_revision >= current || may_be_on_its_way)
    return;
  state.sent = now;
  if (!state.position) {
    if (whole_.revision != current ||
        whole_held_revision_ != state.held_revision) {
      whole_ = make_update(state.held_revision);
      whole_held_revision_ = state.held_revision;
    }
    reply.update = whole_;
    return;
  }
  AddPiece(state, current, make_update, reply);
}

void SettingsSender::AddAsked(const protocol::Heartbeat& heartbeat,
                              std::uint64_t current,
                              const MakeUpdate& make_update,
                              protocol::HeartbeatReply& reply) {
  EntryState state;
  state.held_revision = heartbeat.status.revision;
  state.position = heartbeat.settings_position;
  if (state.position && state.held_revision < current)
    AddPiece(state, current, make_update, reply);
}

void SettingsSender::AddPiece(EntryState& state,
                              std::uint64_t current,
                              const MakeUpdate& make_update,
                              protocol::HeartbeatReply& reply) {
  const PackedUpdate& packed = FindOrPack(state, current, make_update);
  state.sending = packed.position.checksum;
  protocol::SettingsPiece& piece = reply.settings_piece;
  piece.position = packed.position;
  const bool continues = state.position->checksum == packed.position.checksum &&
                         state.position->offset < packed.bytes.size();
  if (continues)
    piece.position.offset = state.position->offset;
  else
    piece.scope = packed.scope;
  piece.total_bytes = packed.bytes.size();
  piece.bytes = packed.bytes.substr(piece.position.offset, kPieceBytes);
}

// Returns the update that the entry is receiving, if it is kept, or else one to
// the current revision. If that one is large, an earlier update that fits into
// one piece goes first, so that its changes don't wait for the large one.
const SettingsSender::PackedUpdate& SettingsSender::FindOrPack(
    const EntryState& state,
    std::uint64_t current,
    const MakeUpdate& make_update) {
  const auto continues = [&](const PackedUpdate& packed) {
    return packed.position.base_revision == state.held_revision &&
           packed.position.revision == state.position->revision &&
           packed.position.checksum == state.position->checksum &&
           state.position->offset < packed.bytes.size();
  };
  // The first of several pieces may have arrived since the entry's heartbeat.
  const auto is_begun = [&](const PackedUpdate& packed) {
    return packed.position.base_revision == state.held_revision &&
           packed.position.checksum == state.sending &&
           packed.bytes.size() > kPieceBytes;
  };
  const auto leads_to_current = [&](const PackedUpdate& packed) {
    return packed.position.base_revision == state.held_revision &&
           packed.position.revision == current;
  };
  const auto continued =
      std::find_if(packed_.begin(), packed_.end(), continues);
  if (continued != packed_.end())
    return *continued;
  const auto begun = std::find_if(packed_.begin(), packed_.end(), is_begun);
  if (begun != packed_.end())
    return *begun;
  auto whole = std::find_if(packed_.begin(), packed_.end(), leads_to_current);
  if (whole == packed_.end()) {
    DropUnused();
    PackedUpdate packed;
    const protocol::SettingsUpdate update = make_update(state.held_revision);
    packed.bytes = wire::PackSettings(update);
    if (packed.bytes.size() > kPieceBytes)
      packed.scope = protocol::ChangeScope(update.changes).ToBytes();
    packed.position = {state.held_revision, current, Hash64(packed.bytes), 0};
    whole = packed_.insert(packed_.end(), std::move(packed));
  }
  if (whole->bytes.size() <= kPieceBytes)
    return *whole;
  const auto is_small_step = [&](const PackedUpdate& packed) {
    return packed.position.base_revision == state.held_revision &&
           state.held_revision != 0 && packed.bytes.size() <= kPieceBytes;
  };
  // Newer updates follow older ones.
  const auto step =
      std::find_if(packed_.rbegin(), packed_.rend(), is_small_step);
  return step == packed_.rend() ? *whole : *step;
}

// Drops old updates that no entry is receiving.
void SettingsSender::DropUnused() {
  std::set<std::uint64_t> used;
  for (const auto& [entry, state] : entries_) {
    if (state.position)
      used.insert(state.position->checksum);
    used.insert(state.sending);
  }
  std::size_t unused = 0;
  for (auto packed = packed_.end(); packed != packed_.begin();) {
    --packed;
    if (used.count(packed->position.checksum) != 0)
      continue;
    if (++unused > kMaxUnusedUpdates)
      packed = packed_.erase(packed);
  }
}

}  // namespace jacinth::control

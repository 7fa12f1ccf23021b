#include <utility>

#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {

generated::BranchChange ToWire(const protocol::BranchChange& change) {
  generated::BranchChange out;
  out.branch = change.branch;
  out.entries = change.values;
  return out;
}

protocol::BranchChange FromWire(generated::BranchChange&& change) {
  return {std::move(change.branch), std::move(change.entries)};
}

generated::ChangeSettings ToWire(const protocol::ChangeSettings& change) {
  generated::ChangeSettings out;
  out.operator_name = change.operator_name;
  out.idempotency_key = change.idempotency_key;
  out.fingerprint = static_cast<std::int64_t>(change.fingerprint);
  out.if_revision = static_cast<std::int64_t>(change.if_revision);
  out.replace_all = change.replace_all;
  out.any_revision = change.any_revision;
  if (change.version_step) {
    generated::VersionStep step;
    step.base_version = static_cast<std::int64_t>(change.version_step->base);
    step.next_version = static_cast<std::int64_t>(change.version_step->next);
    out.__set_version_step(step);
  }
  out.changes.reserve(change.changes.size());
  for (const auto& branch : change.changes)
    out.changes.push_back(ToWire(branch));
  return out;
}

protocol::ChangeSettings FromWire(generated::ChangeSettings&& change) {
  protocol::ChangeSettings out;
  out.operator_name = change.operator_name;
  out.idempotency_key = change.idempotency_key;
  out.fingerprint = static_cast<std::uint64_t>(change.fingerprint);
  out.if_revision = static_cast<std::uint64_t>(change.if_revision);
  out.replace_all = change.replace_all;
  out.any_revision = change.any_revision;
  if (change.__isset.version_step) {
    out.version_step = protocol::VersionStep{
        static_cast<std::uint64_t>(change.version_step.base_version),
        static_cast<std::uint64_t>(change.version_step.next_version)};
  }
  out.changes.reserve(change.changes.size());
  for (generated::BranchChange& branch : change.changes)
    out.changes.push_back(FromWire(std::move(branch)));
  return out;
}

generated::ClaimRecord ToWire(const protocol::ClaimRecord& record) {
  generated::ClaimRecord out;
  out.key = ToWire(record.key);
  out.attempt = record.attempt;
  out.fingerprint = static_cast<std::int64_t>(record.fingerprint);
  out.state = static_cast<std::int32_t>(record.state);
  out.claimed_ms = record.claimed_ms;
  out.deadline_ms = record.deadline_ms;
  out.answer = ToWire(record.answer);
  return out;
}

Result<protocol::ClaimRecord> FromWire(const generated::ClaimRecord& record) {
  const auto state = ToEnum(record.state, protocol::ClaimState::kReleased);
  if (!state)
    return tl::unexpected(state.error());
  protocol::ClaimRecord out;
  out.key = FromWire(record.key);
  out.attempt = record.attempt;
  out.fingerprint = static_cast<std::uint64_t>(record.fingerprint);
  out.state = *state;
  out.claimed_ms = record.claimed_ms;
  out.deadline_ms = record.deadline_ms;
  out.answer = FromWire(record.answer);
  return out;
}

generated::ChangeResult ToWire(const protocol::ChangeResult& result) {
  generated::ChangeResult out;
  out.operator_name = result.operator_name;
  out.idempotency_key = result.idempotency_key;
  out.fingerprint = static_cast<std::int64_t>(result.fingerprint);
  out.accepted = result.accepted;
  out.revision = static_cast<std::int64_t>(result.revision);
  return out;
}

protocol::ChangeResult FromWire(const generated::ChangeResult& result) {
  protocol::ChangeResult out;
  out.operator_name = result.operator_name;
  out.idempotency_key = result.idempotency_key;
  out.fingerprint = static_cast<std::uint64_t>(result.fingerprint);
  out.accepted = result.accepted;
  out.revision = static_cast<std::uint64_t>(result.revision);
  return out;
}

generated::AuditRecord ToWire(const protocol::AuditRecord& record) {
  generated::AuditRecord out;
  out.revision = static_cast<std::int64_t>(record.revision);
  out.wall_ms = record.wall_ms;
  out.operator_name = record.operator_name;
  out.branches = record.branches;
  return out;
}

protocol::AuditRecord FromWire(const generated::AuditRecord& record) {
  protocol::AuditRecord out;
  out.revision = static_cast<std::uint64_t>(record.revision);
  out.wall_ms = record.wall_ms;
  out.operator_name = record.operator_name;
  out.branches = record.branches;
  return out;
}

}  // namespace jacinth::wire

#include "core/wire/state_codec.h"

#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {

std::string EncodeLogBatch(const protocol::LogBatch& batch) {
  generated::LogBatch out;
  out.version = kWireVersion;
  if (batch.hard_state) {
    generated::HardState hard_state;
    hard_state.term = static_cast<std::int64_t>(batch.hard_state->term);
    hard_state.vote = batch.hard_state->vote;
    out.__set_hard_state(hard_state);
  }
  for (const auto& entry : batch.entries)
    out.entries.push_back(ToWire(entry));
  if (batch.snapshot_index)
    out.__set_snapshot_index(static_cast<std::int64_t>(*batch.snapshot_index));
  return Serialize(out);
}

Result<protocol::LogBatch> DecodeLogBatch(std::string_view bytes) {
  const auto in = Deserialize<generated::LogBatch>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  if (in->version != kWireVersion)
    return Fail(ErrorKind::kCorruptData,
                "the version of the log batch is not supported");
  protocol::LogBatch out;
  if (in->__isset.hard_state) {
    out.hard_state = protocol::HardState{
        static_cast<std::uint64_t>(in->hard_state.term), in->hard_state.vote};
  }
  for (const auto& entry : in->entries) {
    auto converted = FromWire(entry);
    if (!converted)
      return tl::unexpected(converted.error());
    out.entries.push_back(std::move(*converted));
  }
  if (in->__isset.snapshot_index)
    out.snapshot_index = static_cast<std::uint64_t>(in->snapshot_index);
  return out;
}

std::string EncodeSnapshot(const protocol::Snapshot& snapshot) {
  return Serialize(ToWire(snapshot));
}

Result<protocol::Snapshot> DecodeSnapshot(std::string_view bytes) {
  const auto in = Deserialize<generated::Snapshot>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  return FromWire(*in);
}

std::string EncodeControlSnapshot(const protocol::ControlSnapshot& state) {
  generated::ControlSnapshot out;
  out.version = kWireVersion;
  out.revision = static_cast<std::int64_t>(state.revision);
  out.operator_version = static_cast<std::int64_t>(state.operator_version);
  out.tree_text = state.tree_text;
  out.log_time_ms = state.log_time_ms;
  out.forgotten_before_ms = state.forgotten_before_ms;
  for (const auto& claim : state.claims)
    out.claims.push_back(ToWire(claim));
  for (const auto& result : state.results)
    out.results.push_back(ToWire(result));
  for (const auto& record : state.audit)
    out.audit.push_back(ToWire(record));
  for (const auto& owner : state.slice_owners)
    out.slice_owners.push_back(ToWire(owner));
  for (const auto& request : state.suspects)
    out.suspects.push_back(ToWire(request));
  return Serialize(out);
}

Result<protocol::ControlSnapshot> DecodeControlSnapshot(
    std::string_view bytes) {
  const auto in = Deserialize<generated::ControlSnapshot>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  if (in->version != kWireVersion)
    return Fail(ErrorKind::kCorruptData,
                "the version of the snapshot is not supported");
  protocol::ControlSnapshot out;
  out.revision = static_cast<std::uint64_t>(in->revision);
  out.operator_version = static_cast<std::uint64_t>(in->operator_version);
  out.tree_text = in->tree_text;
  out.log_time_ms = in->log_time_ms;
  out.forgotten_before_ms = in->forgotten_before_ms;
  for (const auto& claim : in->claims) {
    auto converted = FromWire(claim);
    if (!converted)
      return tl::unexpected(converted.error());
    out.claims.push_back(std::move(*converted));
  }
  for (const auto& result : in->results)
    out.results.push_back(FromWire(result));
  for (const auto& record : in->audit)
    out.audit.push_back(FromWire(record));
  for (const auto& owner : in->slice_owners)
    out.slice_owners.push_back(FromWire(owner));
  for (const auto& request : in->suspects)
    out.suspects.push_back(FromWire(request));
  return out;
}

std::string EncodeConfiguration(const protocol::Configuration& configuration) {
  return Serialize(ToWire(configuration));
}

Result<protocol::Configuration> DecodeConfiguration(std::string_view bytes) {
  const auto in = Deserialize<generated::Configuration>(bytes);
  if (!in)
    return tl::unexpected(in.error());
  return FromWire(*in);
}

}  // namespace jacinth::wire

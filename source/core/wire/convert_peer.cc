#include "core/wire/convert.h"
#include "core/wire/thrift_buffer.h"

namespace jacinth::wire {
namespace {

using protocol::LogEntryKind;
using protocol::PeerMessageKind;

generated::Location ToWire(const protocol::Location& location) {
  generated::Location out;
  out.region = location.region;
  out.failure_domain = location.failure_domain;
  return out;
}

protocol::Location FromWire(const generated::Location& location) {
  return {location.region, location.failure_domain};
}

}  // namespace

generated::LogEntry ToWire(const protocol::LogEntry& entry) {
  generated::LogEntry out;
  out.index = static_cast<std::int64_t>(entry.index);
  out.term = static_cast<std::int64_t>(entry.term);
  out.kind = static_cast<std::int32_t>(entry.kind);
  out.payload = entry.payload;
  return out;
}

Result<protocol::LogEntry> FromWire(const generated::LogEntry& entry) {
  const auto kind = ToEnum(entry.kind, LogEntryKind::kConfiguration);
  if (!kind)
    return tl::unexpected(kind.error());
  protocol::LogEntry out;
  out.index = static_cast<std::uint64_t>(entry.index);
  out.term = static_cast<std::uint64_t>(entry.term);
  out.kind = *kind;
  out.payload = entry.payload;
  return out;
}

generated::Configuration ToWire(const protocol::Configuration& configuration) {
  generated::Configuration out;
  out.voters = configuration.voters;
  out.learners = configuration.learners;
  return out;
}

protocol::Configuration FromWire(
    const generated::Configuration& configuration) {
  return {configuration.voters, configuration.learners};
}

generated::Snapshot ToWire(const protocol::Snapshot& snapshot) {
  generated::Snapshot out;
  out.index = static_cast<std::int64_t>(snapshot.index);
  out.term = static_cast<std::int64_t>(snapshot.term);
  out.configuration = ToWire(snapshot.configuration);
  out.state = snapshot.state;
  return out;
}

protocol::Snapshot FromWire(const generated::Snapshot& snapshot) {
  protocol::Snapshot out;
  out.index = static_cast<std::uint64_t>(snapshot.index);
  out.term = static_cast<std::uint64_t>(snapshot.term);
  out.configuration = FromWire(snapshot.configuration);
  out.state = snapshot.state;
  return out;
}

generated::PeerMessage ToWire(const protocol::PeerMessage& message) {
  generated::PeerMessage out;
  out.kind = static_cast<std::int32_t>(message.kind);
  out.sender = message.from;
  out.receiver = message.to;
  out.term = static_cast<std::int64_t>(message.term);
  out.index = static_cast<std::int64_t>(message.index);
  out.log_term = static_cast<std::int64_t>(message.log_term);
  out.commit = static_cast<std::int64_t>(message.commit);
  out.round = static_cast<std::int64_t>(message.round);
  out.granted = message.granted;
  out.transfer = message.transfer;
  for (const auto& entry : message.entries)
    out.entries.push_back(ToWire(entry));
  if (message.configuration != protocol::Configuration{})
    out.__set_configuration(ToWire(message.configuration));
  if (message.kind == PeerMessageKind::kSnapshot)
    out.__set_snapshot(ToWire(message.snapshot));
  if (message.asks_location)
    out.__set_asks_location(true);
  if (message.location.IsKnown())
    out.__set_location(ToWire(message.location));
  return out;
}

Result<protocol::PeerMessage> FromWire(const generated::PeerMessage& message) {
  const auto kind = ToEnum(message.kind, PeerMessageKind::kTimeoutNow);
  if (!kind)
    return tl::unexpected(kind.error());
  protocol::PeerMessage out;
  out.kind = *kind;
  out.from = message.sender;
  out.to = message.receiver;
  out.term = static_cast<std::uint64_t>(message.term);
  out.index = static_cast<std::uint64_t>(message.index);
  out.log_term = static_cast<std::uint64_t>(message.log_term);
  out.commit = static_cast<std::uint64_t>(message.commit);
  out.round = static_cast<std::uint64_t>(message.round);
  out.granted = message.granted;
  out.transfer = message.transfer;
  for (const auto& entry : message.entries) {
    auto converted = FromWire(entry);
    if (!converted)
      return tl::unexpected(converted.error());
    out.entries.push_back(std::move(*converted));
  }
  if (message.__isset.configuration)
    out.configuration = FromWire(message.configuration);
  if (message.__isset.snapshot)
    out.snapshot = FromWire(message.snapshot);
  out.asks_location = message.__isset.asks_location && message.asks_location;
  if (message.__isset.location)
    out.location = FromWire(message.location);
  return out;
}

}  // namespace jacinth::wire

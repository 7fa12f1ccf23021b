#pragma once

#include "core/common/error.h"
#include "core/protocol/command.h"
#include "core/protocol/control_snapshot.h"
#include "core/protocol/envelope.h"
#include "core/protocol/log_batch.h"
#include "jacinth_types.h"

namespace jacinth::wire {

/// Conversions between the plain structs of core/protocol and the generated
/// structs. Overloads of FromWire that return a Result fail with kCorruptData
/// if a number is not a value of its enumeration. Those that take an rvalue
/// move the text out of it: the generated structs themselves can only be
/// copied.

generated::LogEntry ToWire(const protocol::LogEntry& entry);
Result<protocol::LogEntry> FromWire(const generated::LogEntry& entry);

generated::Configuration ToWire(const protocol::Configuration& configuration);
protocol::Configuration FromWire(const generated::Configuration& configuration);

generated::Snapshot ToWire(const protocol::Snapshot& snapshot);
protocol::Snapshot FromWire(const generated::Snapshot& snapshot);

generated::PeerMessage ToWire(const protocol::PeerMessage& message);
Result<protocol::PeerMessage> FromWire(const generated::PeerMessage& message);

generated::Heartbeat ToWire(const protocol::Heartbeat& heartbeat);
Result<protocol::Heartbeat> FromWire(const generated::Heartbeat& heartbeat);

generated::HeartbeatReply ToWire(const protocol::HeartbeatReply& reply);
protocol::HeartbeatReply FromWire(const generated::HeartbeatReply& reply);

generated::SettingsUpdate ToWire(const protocol::SettingsUpdate& update);
protocol::SettingsUpdate FromWire(generated::SettingsUpdate&& update);

generated::SettingsPosition ToWire(const protocol::SettingsPosition& position);
protocol::SettingsPosition FromWire(
    const generated::SettingsPosition& position);

generated::SettingsPiece ToWire(const protocol::SettingsPiece& piece);
protocol::SettingsPiece FromWire(const generated::SettingsPiece& piece);

generated::ClaimKey ToWire(const protocol::ClaimKey& key);
protocol::ClaimKey FromWire(const generated::ClaimKey& key);

generated::RecordedAnswer ToWire(const protocol::RecordedAnswer& answer);
protocol::RecordedAnswer FromWire(const generated::RecordedAnswer& answer);

generated::ClaimRequest ToWire(const protocol::ClaimRequest& request);
protocol::ClaimRequest FromWire(const generated::ClaimRequest& request);

generated::ClaimReply ToWire(const protocol::ClaimReply& reply);
Result<protocol::ClaimReply> FromWire(const generated::ClaimReply& reply);

generated::FinishRequest ToWire(const protocol::FinishRequest& request);
Result<protocol::FinishRequest> FromWire(
    const generated::FinishRequest& request);

generated::BranchChange ToWire(const protocol::BranchChange& change);
protocol::BranchChange FromWire(generated::BranchChange&& change);

generated::EndpointUpdate ToWire(const protocol::EndpointUpdate& update);
protocol::EndpointUpdate FromWire(const generated::EndpointUpdate& update);

generated::DrainReport ToWire(const protocol::DrainReport& report);
protocol::DrainReport FromWire(const generated::DrainReport& report);

generated::SliceOwner ToWire(const protocol::SliceOwner& owner);
protocol::SliceOwner FromWire(const generated::SliceOwner& owner);

generated::SliceClaim ToWire(const protocol::SliceClaim& claim);
Result<protocol::SliceClaim> FromWire(const generated::SliceClaim& claim);

generated::SliceUse ToWire(const protocol::SliceUse& use);
protocol::SliceUse FromWire(const generated::SliceUse& use);

generated::SliceUpdate ToWire(const protocol::SliceUpdate& update);
protocol::SliceUpdate FromWire(const generated::SliceUpdate& update);

generated::RateLimitReport ToWire(const protocol::RateLimitReport& report);
protocol::RateLimitReport FromWire(const generated::RateLimitReport& report);

generated::RateShareUpdate ToWire(const protocol::RateShareUpdate& update);
protocol::RateShareUpdate FromWire(const generated::RateShareUpdate& update);

generated::CrashReport ToWire(const protocol::CrashReport& report);
protocol::CrashReport FromWire(const generated::CrashReport& report);

generated::SuspectRequest ToWire(const protocol::SuspectRequest& request);
protocol::SuspectRequest FromWire(const generated::SuspectRequest& request);

generated::SuspectUpdate ToWire(const protocol::SuspectUpdate& update);
protocol::SuspectUpdate FromWire(const generated::SuspectUpdate& update);

generated::ChangeSettings ToWire(const protocol::ChangeSettings& change);
protocol::ChangeSettings FromWire(generated::ChangeSettings&& change);

generated::ClaimRecord ToWire(const protocol::ClaimRecord& record);
Result<protocol::ClaimRecord> FromWire(const generated::ClaimRecord& record);

generated::ChangeResult ToWire(const protocol::ChangeResult& result);
protocol::ChangeResult FromWire(const generated::ChangeResult& result);

generated::AuditRecord ToWire(const protocol::AuditRecord& record);
protocol::AuditRecord FromWire(const generated::AuditRecord& record);

}  // namespace jacinth::wire

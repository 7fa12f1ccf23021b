#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/time.h"
#include "core/consensus/replica_actions.h"
#include "core/protocol/command.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/envelope.h"
#include "core/settings/operator_settings.h"

namespace jacinth::control {

/// Identifies a pending administration call.
using AdminTicket = std::uint64_t;

/// A message arrived from another instance.
struct MessageReceived {
  /// Instance at the other end of the link.
  std::string from;
  protocol::Envelope envelope;
};

/// All writes up to and including `id` are synced.
struct WritesSynced {
  consensus::SyncId id = 0;
};

/// A write failed. From then on the replica neither votes nor acknowledges
/// entries.
struct StorageFailed {};

/// Drives timeouts and periodic work.
struct Tick {};

/// The endpoint list was read from the platform.
struct EndpointsListed {
  std::vector<protocol::ListedEndpoint> endpoints;
  /// False if pages could not be read, so that only drains can be taken from
  /// it.
  bool is_complete = true;
  /// Time since the reading began.
  Duration took{0};
};

/// The contacts, which are the instances that are probed for an existing group,
/// were changed in the settings.
struct ContactsChanged {
  std::vector<std::string> contacts;
};

/// An operator requests a change of the settings.
struct ChangeRequested {
  AdminTicket ticket = 0;
  /// Settings of the operator, which limit the branches that it can change.
  settings::OperatorSettings operator_settings;
  protocol::ChangeSettings change;
};

/// An operator requests the state of the control group.
struct ViewRequested {
  AdminTicket ticket = 0;
  /// Whether a replica without the leader lease may answer from its own state.
  bool allow_stale = false;
  /// Whether the state is the base of a change, which needs no lease: the log
  /// decides whether that change still applies.
  bool for_change = false;
};

/// The instance is shutting down.
struct StopRequested {};

/// The input events of a control node.
using ControlEvent = std::variant<MessageReceived,
                                  WritesSynced,
                                  StorageFailed,
                                  Tick,
                                  EndpointsListed,
                                  ContactsChanged,
                                  ChangeRequested,
                                  ViewRequested,
                                  StopRequested>;

/// Returns the name of an event's type for log records.
std::string_view ControlEventName(const ControlEvent& event);
/// The same by the type's index in ControlEvent.
std::string_view ControlEventName(std::size_t index);

}  // namespace jacinth::control

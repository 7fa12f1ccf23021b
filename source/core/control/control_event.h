#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/consensus/replica_actions.h"
#include "core/protocol/command.h"
#include "core/protocol/endpoint_list.h"
#include "core/protocol/envelope.h"
#include "core/settings/operator_settings.h"

namespace jacinth::control {

/// Names an administration call that waits for its answer.
using AdminTicket = std::uint64_t;

/// A message from another instance.
struct MessageReceived {
  /// The instance at the other end of the link.
  std::string from;
  protocol::Envelope envelope;
};

/// The writes up to `id` are on the disk.
struct WritesSynced {
  consensus::SyncId id = 0;
};

/// A write failed; the replica must not vote or acknowledge any more.
struct StorageFailed {};

/// Time has passed.
struct Tick {};

/// The platform's list of endpoints was read in full.
struct EndpointsListed {
  std::vector<protocol::ListedEndpoint> endpoints;
};

/// The settings name other instances to ask for the group.
struct ContactsChanged {
  std::vector<std::string> contacts;
};

/// An operator asks for a change of settings.
struct ChangeRequested {
  AdminTicket ticket = 0;
  settings::OperatorSettings caller;
  protocol::ChangeSettings change;
};

/// An operator asks for the state.
struct ViewRequested {
  AdminTicket ticket = 0;
  /// Whether a replica that isn't the leader may answer from what it has.
  bool allow_stale = false;
};

/// The instance shall stop.
struct StopRequested {};

/// Everything that a control node reacts to.
using ControlEvent = std::variant<MessageReceived,
                                  WritesSynced,
                                  StorageFailed,
                                  Tick,
                                  EndpointsListed,
                                  ContactsChanged,
                                  ChangeRequested,
                                  ViewRequested,
                                  StopRequested>;

}  // namespace jacinth::control

#pragma once

#include <string>

#include "core/common/error.h"
#include "core/control/control_view.h"
#include "core/http/message.h"
#include "core/protocol/command.h"
#include "core/settings/setting_fault.h"
#include "core/settings/tree.h"

namespace jacinth::admin {

// Parsing of request bodies and building of responses for the administration
// API.

/// Parses the new values of a branch, or of the whole tree if `branch` is
/// empty, from a body in INI or JSON, depending on Content-Type. Stores the
/// faults found in `faults`.
protocol::ChangeSettings ParseChange(const http::Request& request,
                                     const std::string& branch,
                                     settings::SettingFaults& faults);

/// Returns a 422 response that lists all faults.
http::Response FaultResponse(const settings::SettingFaults& faults);

/// Returns the whole tree as INI or JSON.
http::Response TreeResponse(const settings::Tree& tree, bool as_json);

/// Returns the values that a branch sets itself as INI or JSON.
http::Response BranchResponse(const settings::Tree::Values& values,
                              bool as_json);

/// Returns the effective settings of a branch as JSON, each with the branch
/// that sets its value, or `default`.
http::Response EffectiveResponse(const settings::Tree& tree,
                                 const std::string& branch);

http::Response MembersResponse(const control::ControlView& view);
http::Response InForceResponse(const control::ControlView& view);
http::Response AuditResponse(const control::ControlView& view);
http::Response StatusResponse(const control::ControlView& view);
http::Response RevisionResponse(std::uint64_t revision);

}  // namespace jacinth::admin

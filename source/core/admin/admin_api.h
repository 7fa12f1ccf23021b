#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/control/control_actions.h"
#include "core/control/control_event.h"
#include "core/http/message.h"
#include "core/settings/operator_settings.h"

namespace jacinth::admin {

/// Calls to the control node. Both block until a reply is available.
struct ControlCalls {
  std::function<control::AdminReply(settings::OperatorSettings,
                                    protocol::ChangeSettings)>
      change;
  /// If `allow_stale` is true, a replica without the leader lease also replies,
  /// with a view that may be outdated.
  std::function<control::AdminReply(bool allow_stale)> view;
};

/// Handles requests to the administration API. Thread-safe, as its members
/// never change.
class AdminApi {
 public:
  /// `admin_addresses` maps instances to the addresses of their administration
  /// API, for redirects to the leader.
  AdminApi(std::vector<settings::OperatorSettings> operators,
           std::map<std::string, std::string> admin_addresses,
           ControlCalls calls);

  http::Response Handle(const http::Request& request) const;

 private:
  http::Response Dispatch(const settings::OperatorSettings& operator_settings,
                          const http::Request& request) const;
  http::Response GetSettings(const http::Request& request,
                             const std::string& branch) const;
  http::Response PutSettings(
      const settings::OperatorSettings& operator_settings,
      const http::Request& request,
      const std::string& branch) const;
  http::Response SetDrain(const settings::OperatorSettings& operator_settings,
                          const http::Request& request,
                          const std::string& branch,
                          bool drain) const;
  http::Response SubmitChange(
      const settings::OperatorSettings& operator_settings,
      const http::Request& request,
      protocol::ChangeSettings change) const;
  http::Response RefusalResponse(const control::CallRefused& refused,
                                 const http::Request& request) const;
  const settings::OperatorSettings* FindOperator(
      const http::Request& request) const;

  std::vector<settings::OperatorSettings> operators_;
  std::map<std::string, std::string> admin_addresses_;
  ControlCalls calls_;
};

}  // namespace jacinth::admin

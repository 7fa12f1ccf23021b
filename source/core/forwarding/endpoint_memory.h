#pragma once

#include <map>
#include <string>

#include "core/common/time.h"
#include "core/forwarding/endpoint_process.h"
#include "core/forwarding/wait_gate.h"

namespace jacinth::forwarding {

/// What the endpoints of one service have said of themselves. It outlasts their
/// listing, as lists may omit an endpoint for a while or lag behind.
///
/// A statement ends with the process that made it: once a process is listed
/// that certainly started later under the same name.
class EndpointMemory {
 public:
  /// Records that an endpoint is leaving. Returns true if that is new.
  bool SetLeaving(const std::string& name,
                  const EndpointProcess& process,
                  Time now);
  /// Records that an endpoint does not leave, as a process that certainly did
  /// not say so before is running. Returns true if that is new.
  bool EndLeaving(const std::string& name);
  /// Records that an endpoint wants no requests for a time. Returns true if the
  /// end of the wait has changed.
  bool SetWait(const std::string& name,
               const EndpointProcess& process,
               Duration wait,
               Time now);

  /// Returns true if the listed process is leaving, as far as is known.
  bool IsLeaving(const std::string& name, const EndpointProcess& listed) const;
  /// Returns the time at which the endpoint last said that it leaves.
  Time LeavingSaid(const std::string& name) const;
  /// Returns the wait that the listed process has asked for.
  WaitGate WaitOf(const std::string& name, const EndpointProcess& listed) const;

  /// Returns true if a malformed statement of the endpoint is to be logged:
  /// once in a while.
  bool ShouldLogUnreadable(const std::string& name, Time now);

  /// Forgets endpoints that `is_listed` does not know and that have said
  /// nothing for a long time.
  template <typename IsListed>
  void Prune(const IsListed& is_listed, Time now) {
    std::erase_if(records_, [&](const auto& item) {
      return now >= item.second.changed + kForgetTime && !is_listed(item.first);
    });
  }

 private:
  /// Longer than any list lags behind or omits an endpoint by mistake.
  static constexpr Duration kForgetTime = std::chrono::minutes(10);

  struct Record {
    EndpointProcess process;
    bool leaving = false;
    Time leaving_said{};
    WaitGate wait;
    Time changed{};
    Time unreadable_logged{};
  };

  Record& RecordOf(const std::string& name,
                   const EndpointProcess& process,
                   Time now);
  const Record* Find(const std::string& name,
                     const EndpointProcess& listed) const;

  std::map<std::string, Record> records_;
};

}  // namespace jacinth::forwarding

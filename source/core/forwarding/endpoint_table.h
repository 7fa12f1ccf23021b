#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/forwarding/attempt.h"
#include "core/settings/service_settings.h"

namespace jacinth::forwarding {

/// What a health probe found.
enum class ProbeEnd {
  kHealthy,
  /// The endpoint is up and takes no new work.
  kDraining,
  kFailed,
};

/// The endpoints of one service as one entry instance sees them.
class EndpointTable {
 public:
  /// Takes over new settings; what is known of remaining endpoints stays.
  void Update(const settings::ServiceSettings& service);

  /// Chooses the endpoint for an attempt and takes one of its slots: the less
  /// loaded of two drawn by `random`, in `home` region if any is free there.
  /// `tried` are avoided. Nothing if no endpoint has a free slot.
  std::optional<std::string> Take(const std::string& home,
                                  const std::set<std::string>& tried,
                                  std::uint64_t random,
                                  Time now);

  /// Gives the slot back and learns from how the attempt ended.
  void OnAttemptEnd(const std::string& name, AttemptEnd end, Time now);

  /// Addresses of endpoints whose probe is due; marks them as being probed.
  std::vector<std::string> DueProbes(Time now);
  void OnProbeEnd(const std::string& name, ProbeEnd end, Time now);

  /// Address of an endpoint, or empty.
  std::string AddressOf(const std::string& name) const;

  /// Requests that may run at once at the endpoints that may get new work.
  int UsableSlots() const;
  /// True if Take would find an endpoint for a first attempt.
  bool HasFreeSlot(Time now) const;
  int inflight() const { return inflight_; }

 private:
  struct Row {
    settings::EndpointSettings settings;
    int inflight = 0;
    /// Requests that this instance may run there at once: falls when the
    /// endpoint refuses, as others use its slots too, and rises with answers.
    double limit = 0;
    /// After a refusal, no work goes there until then.
    Time refused_until{};
    int failures = 0;
    /// Times the endpoint was put aside without an answer in between.
    int ejections = 0;
    std::optional<Time> aside_until;
    bool draining = false;
    bool probing = false;
    Time probe_due{};
  };

  bool IsUsable(const Row& row) const;
  bool HasRoom(const Row& row, Time now) const;
  static void OnRefusal(Row& row, Time now);
  static void OnAnswer(Row& row);
  void OnFailure(Row& row, Time now);
  std::size_t AsideCount() const;

  std::map<std::string, Row> rows_;
  int probe_failures_ = 1;
  Duration probe_interval_{0};
  int inflight_ = 0;
};

}  // namespace jacinth::forwarding

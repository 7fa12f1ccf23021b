#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/forwarding/attempt.h"
#include "core/forwarding/endpoint_load.h"
#include "core/forwarding/placement.h"
#include "core/forwarding/region_share.h"
#include "core/forwarding/warmup_gate.h"
#include "core/log/record.h"
#include "core/settings/service_settings.h"

namespace jacinth::forwarding {

/// What a health probe found.
enum class ProbeEnd {
  kHealthy,
  /// The endpoint is up and takes no new work.
  kDraining,
  kFailed,
};

/// What an entry believes of an endpoint, for the log.
struct EndpointView {
  /// Estimated requests there and the age of what the endpoint told; nothing if
  /// it never did.
  double load = 0;
  std::optional<Duration> load_age;
  int slots = 0;
  bool cold = false;
  /// Part of the service's slots in use.
  double service_busy = 0;
};

/// The endpoints of one service as one entry instance sees them.
class EndpointTable {
 public:
  /// Takes over new settings; what is known of remaining endpoints stays.
  void Update(const settings::ServiceSettings& service, Time now);

  /// Decides which entries may use cold endpoints.
  void SetWarmupGate(WarmupGate gate) { gate_ = std::move(gate); }

  /// Counts the slices that an endpoint owns.
  using CountOwned = std::function<int(const std::string& endpoint)>;

  /// Chooses the endpoint for an attempt and takes one of its slots. With an
  /// object, its slice's owner, or the first with room in the object's order of
  /// all endpoints, by rendezvous hashing within the region that the object is
  /// placed in; otherwise the less loaded of two drawn, in the home region if
  /// any has room there. Nothing if no endpoint has room.
  std::optional<std::string> Take(const Placement& placement, Time now);

  /// The owner to be of a slice that has none: of the first two in the object's
  /// order the one that owns less. Empty if none may get new work.
  std::string ProposeOwner(const Placement& placement,
                           const CountOwned& count_owned,
                           Time now) const;

  /// True if the endpoint may get new work, with room or not.
  bool MayUse(const std::string& name) const;

  /// Gives the slot back and learns from how the attempt ended.
  void OnAttemptEnd(const std::string& name,
                    AttemptEnd end,
                    const std::optional<LoadReport>& load,
                    Time now);

  /// Names of endpoints whose probe is due; marks them as being probed.
  std::vector<std::string> DueProbes(Time now);
  void OnProbeEnd(const std::string& name, ProbeEnd end, Time now);

  EndpointView Describe(const std::string& name, Time now) const;

  /// Moves out what changed in the beliefs since the last call.
  std::vector<log::Record> TakeNotes() { return std::exchange(notes_, {}); }

  /// Settings of an endpoint, or nullptr.
  const settings::EndpointSettings* Find(const std::string& name) const;

  /// Requests that may run at once at the endpoints that may get new work.
  int UsableSlots() const;
  /// True if Take would find an endpoint for a first attempt.
  bool HasFreeSlot(Time now) const;
  int inflight() const { return inflight_; }

 private:
  struct Row {
    settings::EndpointSettings settings;
    EndpointLoad load;
    /// Requests that this instance may run there at once if the endpoint
    /// doesn't tell its load: falls when the endpoint refuses, as others use
    /// its slots too, and rises with answers.
    double limit = 0;
    /// After a refusal, no work goes there until then.
    Time refused_until{};
    int failures = 0;
    /// Times the endpoint was put aside without an answer in between.
    int ejections = 0;
    std::optional<Time> aside_until;
    bool draining = false;
    /// Another endpoint answers at the address.
    bool misdirected = false;
    bool probing = false;
    Time probe_due{};
    Time cold_until{};
    Time last_cold_send{};
    Time last_answer{};
  };

  bool IsUsable(const Row& row) const;
  bool HasRoom(const Row& row, Time now) const;
  static bool HasIdleSlot(const Row& row, Time now);
  static bool HasFreshReport(const Row& row, Time now);
  bool IsCrowded(const Row& row, Time now) const;
  bool ColdAllows(const Row& row, Time now) const;
  double RoomOf(const Row& row) const;
  bool MayServe(const std::string& name,
                const Row& row,
                const Placement& placement,
                Time now) const;
  static bool MayServeRegion(const Row& row, const Placement& placement);
  const std::string* ChooseByObject(const Placement& placement, Time now) const;
  RegionShare Shares() const;
  const std::string* ChooseByLoad(const Placement& placement, Time now) const;
  void ChillRow(Row& row, Time now) const;
  static std::string_view SoftFailure(const Row& row,
                                      AttemptEnd end,
                                      const std::optional<LoadReport>& load,
                                      Time now);
  void NoteLoad(const LoadReport& load);
  void OnRefusal(Row& row, Time now) const;
  static void OnAnswer(Row& row);
  void OnFailure(Row& row, std::string_view why, Time now);
  log::Record& Note(std::string_view event, const Row& row);
  std::size_t AsideCount() const;

  std::map<std::string, Row> rows_;
  WarmupGate gate_;
  int probe_failures_ = 1;
  /// Zero if only endpoints put aside are probed.
  Duration probe_interval_{0};
  int queue_percent_ = 100;
  int wait_percent_ = 100;
  Duration warmup_{0};
  bool listed_ = false;
  int inflight_ = 0;
  /// Part of the slots in use where this entry's requests went, as the answers
  /// told; a moving average.
  double busy_share_ = 0;
  /// Part of the attempts that ended in soft failures; a moving average.
  double soft_failure_share_ = 0;
  std::vector<log::Record> notes_;
};

}  // namespace jacinth::forwarding

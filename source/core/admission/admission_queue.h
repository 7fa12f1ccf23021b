#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/rank.h"
#include "core/common/time.h"
#include "core/settings/service_settings.h"

namespace jacinth::admission {

/// Identifies a request within its entry instance.
using RequestTicket = std::uint64_t;

/// Queue of the requests of one service that wait for a slot.
///
/// Ranks that use less than their share of the slots are served first, then all
/// ranks in order of importance. The kinds of a rank are served round-robin, so
/// that a flood of one kind doesn't block another.
class AdmissionQueue {
 public:
  void Update(const settings::ServiceSettings& service);

  /// Admits a request of `kind`. Returns false if the limits of the kind on
  /// waiting and running requests leave no place for it, or if there is no such
  /// kind.
  bool TryAdmit(const std::string& kind);

  /// Adds an admitted request that is ready to run to the queue of its kind.
  void Enqueue(RequestTicket ticket, const std::string& kind, Time deadline);

  /// Puts a request that TakeNext() returned back at the front of its kind's
  /// queue.
  void Requeue(RequestTicket ticket, const std::string& kind, Time deadline);

  /// Removes and returns the waiting requests whose deadline has passed.
  std::vector<RequestTicket> TakeExpired(Time now);

  /// Removes and returns the waiting requests that can't be taken before their
  /// deadlines if one request can be taken at `next`, and `per_second` requests
  /// after it. Less urgent requests are removed first.
  std::vector<RequestTicket> TakeUnservable(Time next, double per_second);

  /// Removes and returns the next request to run; `slots` is the total number
  /// of slots, which the shares refer to. Returns nullopt if no request can run
  /// now.
  std::optional<RequestTicket> TakeNext(int slots);

  /// Removes a request if it is waiting.
  void Remove(RequestTicket ticket);

  /// Ends the admission of a request. `running` is true if TakeNext() has
  /// returned it.
  void Release(const std::string& kind, bool running);

  std::size_t waiting() const;
  /// Returns the number of waiting requests of `rank` and more urgent ones.
  std::size_t WaitingAtOrAbove(Rank rank) const;

 private:
  struct WaitingRequest {
    RequestTicket ticket;
    Time deadline;
  };
  struct KindState {
    Rank rank = Rank::kNormal;
    int queue_limit = 0;
    int concurrency_limit = 0;
    int admitted = 0;
    int running = 0;
    /// Value of `turn_` when the kind was last served.
    std::uint64_t last_served_turn = 0;
    std::deque<WaitingRequest> waiting;
  };

  bool HasRunnableRequest(const KindState& state) const;
  KindState* NextKindOfRank(Rank rank);
  bool IsBelowShare(Rank rank, int slots) const;

  std::map<std::string, KindState> kinds_;
  std::array<int, kRankCount> share_percent_{};
  std::array<int, kRankCount> running_by_rank_{};
  /// Number of requests returned by TakeNext().
  std::uint64_t turn_ = 0;
};

}  // namespace jacinth::admission

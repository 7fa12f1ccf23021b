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

/// Names a request within its entry instance.
using RequestTicket = std::uint64_t;

/// The requests of one service that wait for a slot.
///
/// A rank that runs less than its share goes first; otherwise the most
/// important rank does. Within a rank, kinds take turns, so that a flood of one
/// kind doesn't hold up another.
class AdmissionQueue {
 public:
  void Update(const settings::ServiceSettings& service);

  /// Accounts for a request of `kind`; false if the kind has no place left,
  /// waiting or running.
  bool TryEnter(const std::string& kind);

  /// The request is ready to run and waits for a slot.
  void Enqueue(RequestTicket ticket, const std::string& kind, Time deadline);

  /// A request that TakeNext had returned waits again, ahead of its kind.
  void Requeue(RequestTicket ticket, const std::string& kind, Time deadline);

  /// Removes and returns the waiting requests whose deadline has passed.
  std::vector<RequestTicket> TakeExpired(Time now);

  /// Chooses the next request to run, if any may, with `slots` in all.
  std::optional<RequestTicket> TakeNext(int slots);

  /// Removes a waiting request, if it waits.
  void Remove(RequestTicket ticket);

  /// The request has left: `running` if TakeNext had returned it.
  void Leave(const std::string& kind, bool running);

  std::size_t waiting() const;

 private:
  struct Waiting {
    RequestTicket ticket;
    Time deadline;
  };
  struct KindRow {
    Rank rank = Rank::kNormal;
    int queue_limit = 0;
    int concurrency_limit = 0;
    int entered = 0;
    int running = 0;
    /// Number of the turn in which the kind was last served.
    std::uint64_t last_turn = 0;
    std::deque<Waiting> waiting;
  };

  bool IsReady(const KindRow& row) const;
  KindRow* NextOfRank(Rank rank);
  bool IsBelowShare(Rank rank, int slots) const;

  std::map<std::string, KindRow> kinds_;
  std::array<int, kRankCount> share_percent_{};
  std::array<int, kRankCount> running_{};
  std::uint64_t turn_ = 0;
};

}  // namespace jacinth::admission

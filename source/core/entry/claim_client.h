#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/common/outcome.h"
#include "core/common/time.h"
#include "core/protocol/claim.h"
#include "core/protocol/envelope.h"

namespace jacinth::entry {

/// Claims idempotency keys in the control role's ledger and reports the
/// outcomes of the claimed attempts. Each message is resent until the control
/// role has answered it.
class ClaimClient {
 public:
  /// Queues a claim request, which the next call of CollectDueMessages returns.
  void Claim(protocol::ClaimRequest request, Time now);

  /// Queues the report of the attempt's outcome, and drops its claim request if
  /// that is still pending.
  void Finish(protocol::FinishRequest request, Time now);

  /// Returns true if the reply decides a pending claim, which is then removed.
  bool OnClaimReply(const protocol::ClaimReply& reply);
  void OnFinishReply(const protocol::FinishReply& reply);

  /// Returns the messages that are due to be sent or resent.
  std::vector<protocol::Envelope> CollectDueMessages(Time now);

  /// Number of outcome reports that the control role has not confirmed.
  std::size_t unconfirmed() const { return finishes_.size(); }

 private:
  template <typename Request>
  struct Pending {
    Request request;
    Time due;
  };

  template <typename Request>
  static void AppendDue(std::map<std::string, Pending<Request>>& pending,
                        Time now,
                        std::vector<protocol::Envelope>& messages);

  std::map<std::string, Pending<protocol::ClaimRequest>> claims_;
  std::map<std::string, Pending<protocol::FinishRequest>> finishes_;
};

}  // namespace jacinth::entry

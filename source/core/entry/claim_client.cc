#include "core/entry/claim_client.h"

#include <utility>

namespace jacinth::entry {
namespace {

/// Interval at which an unanswered message is resent.
constexpr Duration kResendInterval = 300ms;

}  // namespace

void ClaimClient::Claim(protocol::ClaimRequest request, Time now) {
  std::string attempt = request.attempt;
  claims_.insert_or_assign(std::move(attempt), Pending<protocol::ClaimRequest>{
                                                   std::move(request), now});
}

void ClaimClient::Finish(protocol::FinishRequest request, Time now) {
  claims_.erase(request.attempt);
  std::string attempt = request.attempt;
  finishes_.insert_or_assign(
      std::move(attempt),
      Pending<protocol::FinishRequest>{std::move(request), now});
}

bool ClaimClient::OnClaimReply(const protocol::ClaimReply& reply) {
  return reply.decided && claims_.erase(reply.attempt) != 0;
}

void ClaimClient::OnFinishReply(const protocol::FinishReply& reply) {
  finishes_.erase(reply.attempt);
}

std::vector<protocol::Envelope> ClaimClient::CollectDueMessages(Time now) {
  std::vector<protocol::Envelope> messages;
  AppendDue(claims_, now, messages);
  AppendDue(finishes_, now, messages);
  return messages;
}

template <typename Request>
void ClaimClient::AppendDue(std::map<std::string, Pending<Request>>& pending,
                            Time now,
                            std::vector<protocol::Envelope>& messages) {
  for (auto& [attempt, pending_request] : pending) {
    if (now < pending_request.due)
      continue;
    pending_request.due = now + kResendInterval;
    messages.emplace_back(pending_request.request);
  }
}

}  // namespace jacinth::entry

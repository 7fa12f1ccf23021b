#include "core/admission/admission_queue.h"

#include <algorithm>

namespace jacinth::admission {

void AdmissionQueue::Update(const settings::ServiceSettings& service) {
  share_percent_[RankIndex(Rank::kNormal)] = service.normal_share_percent;
  share_percent_[RankIndex(Rank::kBackground)] =
      service.background_share_percent;
  running_ = {};
  for (const settings::KindSettings& kind : service.kinds) {
    KindRow& row = kinds_[kind.name];
    row.rank = kind.rank;
    row.queue_limit = kind.queue_limit;
    row.concurrency_limit = kind.concurrency_limit;
  }
  for (const auto& [name, row] : kinds_)
    running_[RankIndex(row.rank)] += row.running;
}

bool AdmissionQueue::TryEnter(const std::string& kind) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end())
    return false;
  KindRow& row = found->second;
  const int not_running = row.entered - row.running;
  const bool must_wait =
      not_running > 0 || row.running >= row.concurrency_limit;
  // Allows one request more than the queue limit, because a request that runs
  // without waiting passes through the queue, too.
  if (must_wait && not_running > row.queue_limit)
    return false;
  if (row.entered >= row.queue_limit + row.concurrency_limit)
    return false;
  ++row.entered;
  return true;
}

void AdmissionQueue::Enqueue(RequestTicket ticket,
                             const std::string& kind,
                             Time deadline) {
  kinds_[kind].waiting.push_back({ticket, deadline});
}

void AdmissionQueue::Requeue(RequestTicket ticket,
                             const std::string& kind,
                             Time deadline) {
  KindRow& row = kinds_[kind];
  row.waiting.push_front({ticket, deadline});
  --row.running;
  --running_[RankIndex(row.rank)];
}

std::vector<RequestTicket> AdmissionQueue::TakeExpired(Time now) {
  std::vector<RequestTicket> expired;
  for (auto& [name, row] : kinds_) {
    std::erase_if(row.waiting, [&](const Waiting& waiting) {
      if (now < waiting.deadline)
        return false;
      expired.push_back(waiting.ticket);
      return true;
    });
  }
  return expired;
}

std::optional<RequestTicket> AdmissionQueue::TakeNext(int slots) {
  KindRow* chosen = nullptr;
  for (const Rank rank : kRanks) {
    if (!IsBelowShare(rank, slots))
      continue;
    chosen = NextOfRank(rank);
    if (chosen != nullptr)
      break;
  }
  for (const Rank rank : kRanks) {
    if (chosen != nullptr)
      break;
    chosen = NextOfRank(rank);
  }
  if (chosen == nullptr)
    return std::nullopt;
  const RequestTicket ticket = chosen->waiting.front().ticket;
  chosen->waiting.pop_front();
  chosen->last_turn = ++turn_;
  ++chosen->running;
  ++running_[RankIndex(chosen->rank)];
  return ticket;
}

void AdmissionQueue::Remove(RequestTicket ticket) {
  for (auto& [name, row] : kinds_) {
    std::erase_if(row.waiting, [&](const Waiting& waiting) {
      return waiting.ticket == ticket;
    });
  }
}

void AdmissionQueue::Leave(const std::string& kind, bool running) {
  KindRow& row = kinds_[kind];
  --row.entered;
  if (!running)
    return;
  --row.running;
  --running_[RankIndex(row.rank)];
}

std::size_t AdmissionQueue::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, row] : kinds_)
    count += row.waiting.size();
  return count;
}

bool AdmissionQueue::IsReady(const KindRow& row) const {
  return !row.waiting.empty() && row.running < row.concurrency_limit;
}

AdmissionQueue::KindRow* AdmissionQueue::NextOfRank(Rank rank) {
  KindRow* next = nullptr;
  for (auto& [name, row] : kinds_) {
    if (row.rank != rank || !IsReady(row))
      continue;
    if (next == nullptr || row.last_turn < next->last_turn)
      next = &row;
  }
  return next;
}

bool AdmissionQueue::IsBelowShare(Rank rank, int slots) const {
  const std::size_t at = RankIndex(rank);
  return running_[at] * 100 < share_percent_[at] * slots;
}

}  // namespace jacinth::admission

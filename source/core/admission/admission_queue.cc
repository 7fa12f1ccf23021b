#include "core/admission/admission_queue.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace jacinth::admission {

void AdmissionQueue::Update(const settings::ServiceSettings& service) {
  share_percent_[RankIndex(Rank::kNormal)] = service.normal_share_percent;
  share_percent_[RankIndex(Rank::kBackground)] =
      service.background_share_percent;
  running_by_rank_ = {};
  for (const settings::KindSettings& kind : service.kinds) {
    KindState& state = kinds_[kind.name];
    state.rank = kind.rank;
    state.queue_limit = kind.queue_limit;
    state.concurrency_limit = kind.concurrency_limit;
  }
  for (const auto& [name, state] : kinds_)
    running_by_rank_[RankIndex(state.rank)] += state.running;
}

bool AdmissionQueue::TryAdmit(const std::string& kind) {
  const auto found = kinds_.find(kind);
  if (found == kinds_.end())
    return false;
  KindState& state = found->second;
  const int not_running = state.admitted - state.running;
  const bool must_wait =
      not_running > 0 || state.running >= state.concurrency_limit;
  // Allows one request more than the queue limit, because a request that runs
  // without waiting passes through the queue, too.
  if (must_wait && not_running > state.queue_limit)
    return false;
  if (state.admitted >= state.queue_limit + state.concurrency_limit)
    return false;
  ++state.admitted;
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
  KindState& state = kinds_[kind];
  state.waiting.push_front({ticket, deadline});
  --state.running;
  --running_by_rank_[RankIndex(state.rank)];
}

std::vector<RequestTicket> AdmissionQueue::TakeExpired(Time now) {
  std::vector<RequestTicket> expired;
  for (auto& [name, state] : kinds_) {
    std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
      if (now < waiting.deadline)
        return false;
      expired.push_back(waiting.ticket);
      return true;
    });
  }
  return expired;
}

std::vector<RequestTicket> AdmissionQueue::TakeUnservable(Time next,
                                                          double per_second) {
  using Seconds = std::chrono::duration<double>;
  std::vector<std::tuple<Rank, Time, RequestTicket>> order;
  for (const auto& [name, state] : kinds_) {
    for (const WaitingRequest& waiting : state.waiting)
      order.emplace_back(state.rank, waiting.deadline, waiting.ticket);
  }
  std::sort(order.begin(), order.end());
  std::vector<RequestTicket> unservable;
  double servable = 0;
  for (const auto& [rank, deadline, ticket] : order) {
    const bool in_time =
        next <= deadline &&
        servable <= Seconds(deadline - next).count() * per_second;
    if (in_time)
      servable += 1;
    else
      unservable.push_back(ticket);
  }
  for (const RequestTicket ticket : unservable)
    Remove(ticket);
  return unservable;
}

std::optional<RequestTicket> AdmissionQueue::TakeNext(int slots) {
  KindState* chosen_kind = nullptr;
  for (const Rank rank : kRanks) {
    if (!IsBelowShare(rank, slots))
      continue;
    chosen_kind = NextKindOfRank(rank);
    if (chosen_kind != nullptr)
      break;
  }
  for (const Rank rank : kRanks) {
    if (chosen_kind != nullptr)
      break;
    chosen_kind = NextKindOfRank(rank);
  }
  if (chosen_kind == nullptr)
    return std::nullopt;
  const RequestTicket ticket = chosen_kind->waiting.front().ticket;
  chosen_kind->waiting.pop_front();
  chosen_kind->last_served_turn = ++turn_;
  ++chosen_kind->running;
  ++running_by_rank_[RankIndex(chosen_kind->rank)];
  return ticket;
}

void AdmissionQueue::Remove(RequestTicket ticket) {
  for (auto& [name, state] : kinds_) {
    std::erase_if(state.waiting, [&](const WaitingRequest& waiting) {
      return waiting.ticket == ticket;
    });
  }
}

void AdmissionQueue::Release(const std::string& kind, bool running) {
  KindState& state = kinds_[kind];
  --state.admitted;
  if (!running)
    return;
  --state.running;
  --running_by_rank_[RankIndex(state.rank)];
}

std::size_t AdmissionQueue::waiting() const {
  std::size_t count = 0;
  for (const auto& [name, state] : kinds_)
    count += state.waiting.size();
  return count;
}

std::size_t AdmissionQueue::WaitingAtOrAbove(Rank rank) const {
  std::size_t count = 0;
  for (const auto& [name, state] : kinds_)
    count += state.rank <= rank ? state.waiting.size() : 0;
  return count;
}

bool AdmissionQueue::HasRunnableRequest(const KindState& state) const {
  return !state.waiting.empty() && state.running < state.concurrency_limit;
}

AdmissionQueue::KindState* AdmissionQueue::NextKindOfRank(Rank rank) {
  KindState* next_kind = nullptr;
  for (auto& [name, state] : kinds_) {
    if (state.rank != rank || !HasRunnableRequest(state))
      continue;
    if (next_kind == nullptr ||
        state.last_served_turn < next_kind->last_served_turn)
      next_kind = &state;
  }
  return next_kind;
}

bool AdmissionQueue::IsBelowShare(Rank rank, int slots) const {
  const std::size_t rank_index = RankIndex(rank);
  return running_by_rank_[rank_index] * 100 <
         share_percent_[rank_index] * slots;
}

}  // namespace jacinth::admission

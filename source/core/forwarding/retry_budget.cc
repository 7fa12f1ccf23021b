#include "core/forwarding/retry_budget.h"

namespace jacinth::forwarding {
namespace {

/// Number of buckets that the counts of a window are divided into.
constexpr int kSlicesPerWindow = 20;

}  // namespace

void RetryBudget::Configure(double ratio, int reserve, Duration window) {
  ratio_ = ratio;
  reserve_ = reserve;
  window_ = window;
}

void RetryBudget::OnFirstAttempt(Time now) {
  ++Current(now).first_attempts;
  ++first_attempts_;
}

bool RetryBudget::TryRetry(Time now) {
  Slice& slice = Current(now);
  if (retries_ + 1 > ratio_ * first_attempts_ + reserve_)
    return false;
  ++slice.retries;
  ++retries_;
  return true;
}

RetryBudget::Slice& RetryBudget::Current(Time now) {
  while (!slices_.empty() && slices_.front().start + window_ <= now) {
    first_attempts_ -= slices_.front().first_attempts;
    retries_ -= slices_.front().retries;
    slices_.pop_front();
  }
  const Duration length = window_ / kSlicesPerWindow;
  if (slices_.empty() || slices_.back().start + length <= now)
    slices_.push_back({now});
  return slices_.back();
}

}  // namespace jacinth::forwarding

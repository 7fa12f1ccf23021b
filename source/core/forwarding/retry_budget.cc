#include "core/forwarding/retry_budget.h"

namespace jacinth::forwarding {
namespace {

/// Number of buckets that the counts of a window are divided into.
constexpr int kBucketsPerWindow = 20;

}  // namespace

void RetryBudget::Configure(double ratio, int reserve, Duration window) {
  ratio_ = ratio;
  reserve_ = reserve;
  window_ = window;
}

void RetryBudget::OnFirstAttempt(Time now) {
  ++CurrentBucket(now).first_attempts;
  ++first_attempts_;
}

bool RetryBudget::TryRetry(Time now) {
  Bucket& bucket = CurrentBucket(now);
  if (retries_ + 1 > ratio_ * first_attempts_ + reserve_)
    return false;
  ++bucket.retries;
  ++retries_;
  return true;
}

RetryBudget::Bucket& RetryBudget::CurrentBucket(Time now) {
  const Duration bucket_length = window_ / kBucketsPerWindow;
  // A bucket counts until the window has passed all of it.
  while (!buckets_.empty() &&
         buckets_.front().start + bucket_length + window_ <= now) {
    first_attempts_ -= buckets_.front().first_attempts;
    retries_ -= buckets_.front().retries;
    buckets_.pop_front();
  }
  if (buckets_.empty() || buckets_.back().start + bucket_length <= now)
    buckets_.push_back({now});
  return buckets_.back();
}

}  // namespace jacinth::forwarding

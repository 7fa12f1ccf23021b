#include "core/entry/service_state.h"

#include <utility>

namespace jacinth::entry {
namespace {

/// Inverse of the weight that a new answer has in the average.
constexpr int kAverageDivisor = 16;

}  // namespace

void ServiceState::Update(settings::ServiceSettings service, Time now) {
  settings = std::move(service);
  queue.Update(settings);
  endpoints.Update(settings, now);
  removed = false;
}

void ServiceState::RecordAnswerTime(const std::string& kind, Duration time) {
  const auto [it, inserted] = average_answer_times.try_emplace(kind, time);
  if (!inserted)
    it->second += (time - it->second) / kAverageDivisor;
}

void ServiceState::RecordAnswerBytes(const std::string& kind, double bytes) {
  const auto [it, inserted] = average_answer_bytes.try_emplace(kind, bytes);
  if (!inserted)
    it->second += (bytes - it->second) / kAverageDivisor;
}

double ServiceState::ExpectedAnswerBytes(const std::string& kind) const {
  const auto it = average_answer_bytes.find(kind);
  return it == average_answer_bytes.end() ? 0 : it->second;
}

bool ServiceState::CanFinishByDeadline(const std::string& kind,
                                       Time deadline,
                                       Time now) const {
  const auto it = average_answer_times.find(kind);
  return now + (it == average_answer_times.end() ? Duration{0} : it->second) <
         deadline;
}

void ServiceState::MarkRemoved(Time now) {
  settings.endpoints.clear();
  endpoints.Update(settings, now);
  removed = true;
}

}  // namespace jacinth::entry

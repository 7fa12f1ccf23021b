#include "core/entry/service_desk.h"

namespace jacinth::entry {
namespace {

/// Share of a new answer in the average, as its inverse.
constexpr int kAverageWeight = 16;

}  // namespace

void ServiceDesk::Update(const settings::ServiceSettings& service, Time now) {
  settings = service;
  queue.Update(service);
  endpoints.Update(service, now);
  removed = false;
}

void ServiceDesk::NoteAnswer(const std::string& kind, Duration time) {
  const auto [row, first] = usual_time.try_emplace(kind, time);
  if (!first)
    row->second += (time - row->second) / kAverageWeight;
}

bool ServiceDesk::CanEndInTime(const std::string& kind,
                               Time deadline,
                               Time now) const {
  const auto row = usual_time.find(kind);
  return now + (row == usual_time.end() ? Duration{0} : row->second) < deadline;
}

void ServiceDesk::Close(Time now) {
  settings.endpoints.clear();
  endpoints.Update(settings, now);
  removed = true;
}

}  // namespace jacinth::entry

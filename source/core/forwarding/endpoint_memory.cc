#include "core/forwarding/endpoint_memory.h"

#include <utility>

namespace jacinth::forwarding {
namespace {

/// Time between two log lines on malformed statements of one endpoint.
constexpr Duration kUnreadableLogInterval = 10s;

}  // namespace

bool EndpointMemory::SetLeaving(const std::string& name,
                                const EndpointProcess& process,
                                Time now) {
  const auto known = records_.find(name);
  // The answer of an earlier process says nothing about a later one.
  const bool outdated = known != records_.end() && process.started_ms != 0 &&
                        process.started_ms < known->second.process.started_ms;
  if (outdated)
    return false;
  Record& record = RecordOf(name, process, now);
  record.leaving_said = now;
  return !std::exchange(record.leaving, true);
}

bool EndpointMemory::EndLeaving(const std::string& name) {
  const auto found = records_.find(name);
  return found != records_.end() && std::exchange(found->second.leaving, false);
}

bool EndpointMemory::SetWait(const std::string& name,
                             const EndpointProcess& process,
                             Duration wait,
                             Time now) {
  if (wait <= Duration{0})
    return false;
  return RecordOf(name, process, now).wait.OnAsked(wait, now);
}

bool EndpointMemory::IsLeaving(const std::string& name,
                               const EndpointProcess& listed) const {
  const Record* record = Find(name, listed);
  return record != nullptr && record->leaving;
}

Time EndpointMemory::LeavingSaid(const std::string& name) const {
  const auto found = records_.find(name);
  return found == records_.end() ? Time{} : found->second.leaving_said;
}

WaitGate EndpointMemory::WaitOf(const std::string& name,
                                const EndpointProcess& listed) const {
  const Record* record = Find(name, listed);
  return record == nullptr ? WaitGate{} : record->wait;
}

bool EndpointMemory::ShouldLogUnreadable(const std::string& name, Time now) {
  Record& record = records_[name];
  if (record.unreadable_logged != Time{} &&
      now < record.unreadable_logged + kUnreadableLogInterval)
    return false;
  record.unreadable_logged = now;
  record.changed = now;
  return true;
}

EndpointMemory::Record& EndpointMemory::RecordOf(const std::string& name,
                                                 const EndpointProcess& process,
                                                 Time now) {
  Record& record = records_[name];
  if (IsLaterProcess(record.process, process)) {
    record = Record{};
    record.process = process;
  }
  if (record.process.started_ms == 0)
    record.process.started_ms = process.started_ms;
  record.changed = now;
  return record;
}

const EndpointMemory::Record* EndpointMemory::Find(
    const std::string& name,
    const EndpointProcess& listed) const {
  const auto found = records_.find(name);
  if (found == records_.end() || IsLaterProcess(found->second.process, listed))
    return nullptr;
  return &found->second;
}

}  // namespace jacinth::forwarding

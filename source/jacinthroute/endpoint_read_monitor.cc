#include "jacinthroute/endpoint_read_monitor.h"

namespace jacinth {
namespace {

/// Duration from which a complete read is logged.
constexpr Duration kSlowRead = 500ms;

}  // namespace

void EndpointReadMonitor::OnStart(Time now) {
  *this = {};
  started_ = now;
}

void EndpointReadMonitor::OnPage(std::string_view failure_domain,
                                 std::string_view failure,
                                 Time requested,
                                 Time now) {
  const Page page{std::string(failure_domain), std::string(failure),
                  now - requested};
  if (page.took >= slowest_.took)
    slowest_ = page;
  if (failure.empty()) {
    ++read_pages_;
    return;
  }
  if (++failed_pages_ == 1)
    first_failed_ = page;
}

std::optional<log::Record> EndpointReadMonitor::OnEnd(Time now) const {
  if (failed_pages_ > 0) {
    log::Record record =
        MakeRecord(log::Level::kWarning, "endpoint_read_failed", now);
    record.With("pages_dropped", read_pages_)
        .With("pages_failed", failed_pages_)
        .With("failure_domain", first_failed_.failure_domain)
        .With("detail", first_failed_.failure)
        .With("page_ms", ToMillis(first_failed_.took));
    return record;
  }
  if (now - started_ < kSlowRead)
    return std::nullopt;
  log::Record record =
      MakeRecord(log::Level::kInfo, "endpoint_read_was_slow", now);
  record.With("pages", read_pages_)
      .With("failure_domain", slowest_.failure_domain)
      .With("page_ms", ToMillis(slowest_.took));
  return record;
}

log::Record EndpointReadMonitor::MakeRecord(log::Level level,
                                            std::string_view event,
                                            Time now) const {
  log::Record record{level, log::Category::kEntry, event, {}};
  record.With("took_ms", ToMillis(now - started_))
      .With("skipped_starts", skipped_starts_);
  return record;
}

}  // namespace jacinth

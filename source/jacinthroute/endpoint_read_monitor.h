#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/log/record.h"

namespace jacinth {

/// Explains why the platform's endpoint list was learned late or not at all:
/// measures the reads of an instance, one at a time.
class EndpointReadMonitor {
 public:
  /// Records that a read begins.
  void OnStart(Time now);
  /// Records that a read was due while one is in progress, so that none began.
  void OnStartSkipped() { ++skipped_starts_; }

  /// Records the end of a page that was requested at `requested`. `failure` is
  /// empty if the page was read.
  void OnPage(std::string_view failure_domain,
              std::string_view failure,
              Time requested,
              Time now);

  /// Records the end of a read. Returns a log record if it failed or was slow.
  std::optional<log::Record> OnEnd(Time now) const;

 private:
  /// The page that explains the end of a read: the first one that failed, or
  /// the slowest one.
  struct Page {
    std::string failure_domain;
    std::string failure;
    Duration took{0};
  };

  log::Record MakeRecord(log::Level level,
                         std::string_view event,
                         Time now) const;

  Time started_{};
  int read_pages_ = 0;
  int failed_pages_ = 0;
  int skipped_starts_ = 0;
  Page first_failed_;
  Page slowest_;
};

}  // namespace jacinth

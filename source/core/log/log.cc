#include "core/log/log.h"

#include <array>
#include <chrono>
#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>

#include "core/common/name_table.h"
#include "core/common/process_clock.h"
#include "core/log/line_rate_limiter.h"
#include "core/log/line_sink.h"
#include "core/log/repeat_limiter.h"
#include "core/log/timestamp.h"

namespace jacinth::log {
namespace {

using nlohmann::ordered_json;

constexpr std::array kLevelNames = {
    NamedValue<Level>{Level::kTrace, "trace"},
    NamedValue<Level>{Level::kDebug, "debug"},
    NamedValue<Level>{Level::kInfo, "info"},
    NamedValue<Level>{Level::kWarning, "warning"},
    NamedValue<Level>{Level::kError, "error"},
};

constexpr std::array kCategoryNames = {
    NamedValue<Category>{Category::kMain, "main"},
    NamedValue<Category>{Category::kSettings, "settings"},
    NamedValue<Category>{Category::kStorage, "storage"},
    NamedValue<Category>{Category::kConsensus, "consensus"},
    NamedValue<Category>{Category::kControl, "control"},
    NamedValue<Category>{Category::kEntry, "entry"},
    NamedValue<Category>{Category::kForwarding, "forwarding"},
    NamedValue<Category>{Category::kNet, "net"},
    NamedValue<Category>{Category::kHttp, "http"},
    NamedValue<Category>{Category::kAdmin, "admin"},
};

/// The logger of the process, set up by Start. Records written before Start or
/// after Stop are discarded.
struct Logger {
  std::mutex mutex;
  Level min_level = Level::kInfo;
  std::string instance;
  LineRateLimiter rate_limiter;
  RepeatLimiter repeat_limiter;
  std::unique_ptr<LineSink> sink;
};

Logger& GetLogger() {
  static Logger logger;
  return logger;
}

// Returns a line with the fields that all lines have.
ordered_json MakeLine(const Logger& logger,
                      Level level,
                      Category category,
                      std::string_view event) {
  ordered_json line;
  line["time"] = FormatTimestamp(std::chrono::system_clock::now());
  line["level"] = EnumName(kLevelNames, level);
  line["part"] = EnumName(kCategoryNames, category);
  line["instance"] = logger.instance;
  line["event"] = event;
  return line;
}

// Queues `line` for writing unless the rate limit is exceeded. The logger's
// mutex must be held.
void QueueLine(Logger& logger, ordered_json& line, Time now) {
  const auto dropped_lines = logger.rate_limiter.Admit(now);
  if (!dropped_lines)
    return;
  if (*dropped_lines > 0)
    line["lines_left_out"] = *dropped_lines;
  logger.sink->Add(
      line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

}  // namespace

void Start(std::string_view level, std::string instance) {
  Logger& logger = GetLogger();
  const std::lock_guard lock(logger.mutex);
  logger.min_level = EnumFromName(kLevelNames, level).value_or(Level::kInfo);
  logger.instance = std::move(instance);
  logger.sink = std::make_unique<LineSink>();
}

void Stop() {
  Logger& logger = GetLogger();
  const std::lock_guard lock(logger.mutex);
  logger.sink.reset();
}

void Write(const Record& record) {
  Logger& logger = GetLogger();
  const std::lock_guard lock(logger.mutex);
  if (!logger.sink || record.level < logger.min_level)
    return;
  ordered_json line =
      MakeLine(logger, record.level, record.category, record.event);
  for (const Field& field : record.fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  QueueLine(logger, line, MonotonicNow());
}

void Write(Level level, Category category, std::string_view text) {
  Logger& logger = GetLogger();
  const std::lock_guard lock(logger.mutex);
  if (!logger.sink || level < logger.min_level)
    return;
  const Time now = MonotonicNow();
  const auto suppressed = logger.repeat_limiter.Admit(text, now);
  if (!suppressed)
    return;
  ordered_json line = MakeLine(logger, level, category, "message");
  line["message"] = text;
  if (*suppressed > 0)
    line["repeated"] = *suppressed;
  QueueLine(logger, line, now);
}

}  // namespace jacinth::log

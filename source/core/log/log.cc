#include "core/log/log.h"

#include <array>
#include <chrono>
#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>

#include "core/common/name_table.h"
#include "core/common/process_clock.h"
#include "core/log/line_budget.h"
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

constexpr std::array kParts = {
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
  Level lowest = Level::kInfo;
  std::string instance;
  LineBudget budget;
  RepeatLimiter limiter;
  std::unique_ptr<LineSink> sink;
};

Logger& TheLogger() {
  static Logger logger;
  return logger;
}

// Returns a line with the fields that all lines have.
ordered_json Head(const Logger& logger,
                  Level level,
                  Category category,
                  std::string_view event) {
  ordered_json line;
  line["time"] = FormatTimestamp(std::chrono::system_clock::now());
  line["level"] = EnumName(kLevelNames, level);
  line["part"] = EnumName(kParts, category);
  line["instance"] = logger.instance;
  line["event"] = event;
  return line;
}

// Queues `line` for writing unless the rate limit is exceeded. The logger's
// mutex must be held.
void Emit(Logger& logger, ordered_json& line, Time now) {
  const auto left_out = logger.budget.Admit(now);
  if (!left_out)
    return;
  if (*left_out > 0)
    line["lines_left_out"] = *left_out;
  logger.sink->Add(
      line.dump(-1, ' ', false, ordered_json::error_handler_t::replace));
}

}  // namespace

void Start(std::string_view level, std::string instance) {
  Logger& logger = TheLogger();
  const std::lock_guard lock(logger.mutex);
  logger.lowest = EnumFromName(kLevelNames, level).value_or(Level::kInfo);
  logger.instance = std::move(instance);
  logger.sink = std::make_unique<LineSink>();
}

void Stop() {
  Logger& logger = TheLogger();
  const std::lock_guard lock(logger.mutex);
  logger.sink.reset();
}

void Write(const Record& record) {
  Logger& logger = TheLogger();
  const std::lock_guard lock(logger.mutex);
  if (!logger.sink || record.level < logger.lowest)
    return;
  ordered_json line = Head(logger, record.level, record.category, record.event);
  for (const Field& field : record.fields) {
    std::visit(
        [&](const auto& value) { line[std::string(field.name)] = value; },
        field.value);
  }
  Emit(logger, line, MonotonicNow());
}

void Write(Level level, Category category, std::string_view text) {
  Logger& logger = TheLogger();
  const std::lock_guard lock(logger.mutex);
  if (!logger.sink || level < logger.lowest)
    return;
  const Time now = MonotonicNow();
  const auto repeated = logger.limiter.Admit(text, now);
  if (!repeated)
    return;
  ordered_json line = Head(logger, level, category, "message");
  line["message"] = text;
  if (*repeated > 0)
    line["repeated"] = *repeated;
  Emit(logger, line, now);
}

}  // namespace jacinth::log

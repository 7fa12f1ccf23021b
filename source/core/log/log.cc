#include "core/log/log.h"

#include <array>
#include <iostream>
#include <mutex>
#include <string>

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include "core/common/name_table.h"
#include "core/common/process_clock.h"
#include "core/log/repeat_limiter.h"

namespace jacinth::log {
namespace {

constexpr std::array kLevelNames = {
    NamedValue<Level>{Level::kTrace, "trace"},
    NamedValue<Level>{Level::kDebug, "debug"},
    NamedValue<Level>{Level::kInfo, "info"},
    NamedValue<Level>{Level::kWarning, "warning"},
    NamedValue<Level>{Level::kError, "error"},
};

constexpr std::array kPrefixes = {
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

namespace expr = boost::log::expressions;

boost::log::sources::severity_logger_mt<int>& Logger() {
  static boost::log::sources::severity_logger_mt<int> logger;
  return logger;
}

std::mutex limiter_mutex;

RepeatLimiter& Limiter() {
  static RepeatLimiter limiter;
  return limiter;
}

}  // namespace

void Start(std::string_view level) {
  const Level lowest = ValueOf(kLevelNames, level).value_or(Level::kInfo);
  boost::log::add_common_attributes();
  boost::log::add_console_log(
      std::clog, boost::log::keywords::auto_flush = true,
      boost::log::keywords::format =
          (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << ' ' << expr::smessage));
  boost::log::core::get()->set_filter(expr::attr<int>("Severity") >=
                                      static_cast<int>(lowest));
}

void Stop() {
  boost::log::core::get()->flush();
}

void Write(Level level, Category category, std::string_view text) {
  std::string line(NameOf(kLevelNames, level));
  line += ' ';
  line += NameOf(kPrefixes, category);
  line += ": ";
  line += text;
  const Time now = MonotonicNow();
  {
    const std::lock_guard lock(limiter_mutex);
    const auto suppressed = Limiter().Admit(line, now);
    if (!suppressed)
      return;
    if (*suppressed > 0)
      line += " (repeated " + std::to_string(*suppressed) + " times)";
  }
  BOOST_LOG_SEV(Logger(), static_cast<int>(level)) << line;
}

}  // namespace jacinth::log

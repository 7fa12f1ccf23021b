#include "core/log/line_sink.h"

#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>
#include <utility>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

namespace jacinth::log {
namespace {

namespace sinks = boost::log::sinks;
using namespace std::chrono_literals;

/// Capacity of the queue in lines.
constexpr std::size_t kMaxQueuedLines = 4'096;
constexpr auto kStopTimeout = 300ms;
constexpr auto kStopPollInterval = 5ms;

class Backend : public sinks::basic_formatted_sink_backend<char> {
 public:
  void consume(const boost::log::record_view& /*record*/,
               const string_type& line) {
    std::cout << line << '\n' << std::flush;
    ++written_lines_;
  }

  std::uint64_t written_lines() const { return written_lines_; }

 private:
  std::atomic<std::uint64_t> written_lines_{0};
};

using Frontend = sinks::asynchronous_sink<
    Backend,
    sinks::bounded_fifo_queue<kMaxQueuedLines, sinks::drop_on_overflow>>;

}  // namespace

struct LineSink::Impl {
  boost::shared_ptr<Backend> backend = boost::make_shared<Backend>();
  boost::shared_ptr<Frontend> frontend;
  boost::log::sources::logger_mt logger;
  std::atomic<std::uint64_t> queued_lines{0};
};

LineSink::LineSink() : impl_(new Impl) {
  impl_->frontend = boost::make_shared<Frontend>(impl_->backend);
  impl_->frontend->set_formatter(boost::log::expressions::stream
                                 << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(impl_->frontend);
}

LineSink::~LineSink() {
  Stop();
}

void LineSink::Add(const std::string& line) {
  if (impl_ == nullptr)
    return;
  ++impl_->queued_lines;
  BOOST_LOG(impl_->logger) << line;
}

void LineSink::Stop() {
  if (impl_ == nullptr)
    return;
  boost::log::core::get()->remove_sink(impl_->frontend);
  const auto deadline = std::chrono::steady_clock::now() + kStopTimeout;
  // Lines dropped by a full queue are never written. In that case the loop runs
  // until the deadline.
  while (impl_->backend->written_lines() < impl_->queued_lines &&
         std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(kStopPollInterval);
  const bool drained = impl_->backend->written_lines() >= impl_->queued_lines;
  Impl* impl = std::exchange(impl_, nullptr);
  if (!drained)
    return;
  impl->frontend->stop();
  delete impl;
}

}  // namespace jacinth::log

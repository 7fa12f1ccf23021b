#include "jacinthroute/endpoint_lister.h"

#include <array>
#include <utility>

#include "core/common/name_table.h"
#include "core/common/process_clock.h"
#include "core/http/status.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

constexpr http::ExchangeLimits kPageLimits{500ms, 1500ms, 8UL << 20U};
constexpr Duration kMaxIdleTime = 5s;
/// Limits the number of pages in case the page tokens form a loop.
constexpr int kMaxPages = 1'000;

constexpr std::array kUnansweredNames = {
    NamedValue<http::ExchangeEnd>{http::ExchangeEnd::kNotConnected,
                                  "no connection"},
    NamedValue<http::ExchangeEnd>{http::ExchangeEnd::kLost, "connection lost"},
    NamedValue<http::ExchangeEnd>{http::ExchangeEnd::kTimedOut, "timed out"},
    NamedValue<http::ExchangeEnd>{http::ExchangeEnd::kIncomplete,
                                  "incomplete answer"},
    NamedValue<http::ExchangeEnd>{http::ExchangeEnd::kTooLarge,
                                  "answer too large"},
};

// Returns why `result` has no page; empty if it has one.
std::string FindFailure(const http::ExchangeResult& result) {
  if (result.end != http::ExchangeEnd::kAnswered)
    return std::string(EnumName(kUnansweredNames, result.end));
  if (result.response.status != http::kStatusOk)
    return "unexpected status " + std::to_string(result.response.status);
  return "";
}

}  // namespace

EndpointLister::EndpointLister(http::EventClient& client,
                               std::string address,
                               std::vector<std::string> failure_domains,
                               MakeRequest make_request,
                               ParsePage parse_page)
    : client_(client),
      address_(std::move(address)),
      failure_domains_(std::move(failure_domains)),
      make_request_(std::move(make_request)),
      parse_page_(std::move(parse_page)),
      reads_by_domain_(!failure_domains_.empty()) {}

void EndpointLister::Start(DoneHandler on_done) {
  if (address_.empty())
    return;
  if (open_requests_ != 0) {
    monitor_.OnStartSkipped();
    return;
  }
  monitor_.OnStart(MonotonicNow());
  requested_pages_ = 0;
  skipped_endpoints_ = 0;
  failure_.clear();
  endpoints_.clear();
  on_done_ = std::move(on_done);
  if (!reads_by_domain_) {
    RequestPage("", "");
    return;
  }
  for (const std::string& failure_domain : failure_domains_)
    RequestPage(failure_domain, "");
}

void EndpointLister::RequestPage(const std::string& failure_domain,
                                 const std::string& page_token) {
  ++open_requests_;
  ++requested_pages_;
  http::ClientCall call;
  call.address = address_;
  call.request = make_request_(failure_domain, page_token);
  call.limits = kPageLimits;
  call.max_idle = kMaxIdleTime;
  client_.Start(call, [this, failure_domain, requested = MonotonicNow()](
                          const http::ExchangeResult& result) {
    OnPage(failure_domain, requested, result);
  });
}

void EndpointLister::OnPage(const std::string& failure_domain,
                            Time requested,
                            const http::ExchangeResult& result) {
  --open_requests_;
  std::string failure = FindFailure(result);
  if (failure.empty() && failure_.empty()) {
    if (const auto added = AddPage(failure_domain, result.response); !added)
      failure = added.error().detail;
  }
  const Time now = MonotonicNow();
  monitor_.OnPage(failure_domain, failure, requested, now);
  if (failure_.empty())
    failure_ = std::move(failure);
  if (open_requests_ == 0)
    OnReadEnd(now);
}

Result<void> EndpointLister::AddPage(const std::string& failure_domain,
                                     const http::Response& response) {
  auto page = parse_page_(response);
  if (!page)
    return tl::unexpected(page.error());
  for (protocol::ListedEndpoint& endpoint : page->endpoints)
    endpoints_.push_back(std::move(endpoint));
  skipped_endpoints_ += page->skipped_endpoints;
  if (page->next_page_token.empty())
    return {};
  if (requested_pages_ >= kMaxPages)
    return Fail(ErrorKind::kCorruptData, "the list has no end");
  RequestPage(failure_domain, page->next_page_token);
  return {};
}

void EndpointLister::OnReadEnd(Time now) {
  if (const auto record = monitor_.OnEnd(now))
    log::Write(*record);
  if (!failure_.empty()) {
    last_read_failed_ = true;
    return;
  }
  if (std::exchange(last_skipped_endpoints_, skipped_endpoints_) <
      skipped_endpoints_) {
    log::Warning(log::Category::kEntry,
                 std::to_string(skipped_endpoints_) +
                     " entries of the endpoint list are malformed and name no "
                     "endpoint.");
  }
  if (std::exchange(last_read_failed_, false))
    log::Info(log::Category::kEntry, "The endpoint list can be read again.");
  const auto domains = static_cast<int>(failure_domains_.size());
  reads_by_domain_ = domains != 0 && requested_pages_ > domains;
  on_done_(std::move(endpoints_));
}

}  // namespace jacinth

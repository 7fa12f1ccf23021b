#include "jacinthroute/endpoint_lister.h"

#include <array>
#include <utility>

#include "core/common/name_table.h"
#include "core/common/process_clock.h"
#include "core/http/status.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

/// Limits of the first request for a page, and of the one that repeats it: a
/// page usually takes some milliseconds, but a list must be read from a slow
/// platform as well.
constexpr http::ExchangeLimits kPageLimits{500ms, 700ms, 8UL << 20U};
constexpr http::ExchangeLimits kRepeatedPageLimits{500ms, 1500ms, 8UL << 20U};
constexpr Duration kMaxIdleTime = 5s;
/// Number of requests for a page that gets no answer, and the time since the
/// beginning of a reading after which none is repeated: its other pages are old
/// by then.
constexpr int kMaxPageTries = 2;
constexpr Duration kMaxRetryAge = 1s;
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

void CountListing(const EndpointListing& listing, metrics::Registry& metrics) {
  metrics.Count(
      metrics::FormatSeries("jacinth_list_reads_total", "end",
                            listing.is_complete ? "complete" : "incomplete"));
  if (listing.is_complete) {
    metrics.SetGauge("jacinth_skipped_list_entries",
                     static_cast<double>(listing.skipped_entries));
  }
}

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
    monitor_.OnStartDeferred();
    next_on_done_ = std::move(on_done);
    return;
  }
  on_done_ = std::move(on_done);
  Begin(MonotonicNow());
}

void EndpointLister::Begin(Time now) {
  monitor_.OnStart(now);
  began_ = now;
  requested_pages_ = 0;
  skipped_endpoints_ = 0;
  first_skipped_.clear();
  failure_.clear();
  endpoints_.clear();
  if (!reads_by_domain_) {
    RequestPage({});
    return;
  }
  for (const std::string& failure_domain : failure_domains_)
    RequestPage({failure_domain});
}

void EndpointLister::RequestPage(Page page) {
  ++open_requests_;
  if (page.tries == 1)
    ++requested_pages_;
  http::ClientCall call;
  call.address = address_;
  call.request = make_request_(page.failure_domain, page.token);
  const bool is_repeated = page.tries > 1;
  call.limits = is_repeated ? kRepeatedPageLimits : kPageLimits;
  call.max_idle = is_repeated ? Duration{0} : kMaxIdleTime;
  client_.Start(
      call, [this, page = std::move(page),
             requested = MonotonicNow()](const http::ExchangeResult& result) {
        OnPage(page, requested, result);
      });
}

void EndpointLister::OnPage(Page page,
                            Time requested,
                            const http::ExchangeResult& result) {
  --open_requests_;
  std::string failure = FindFailure(result);
  if (failure.empty()) {
    if (const auto added = AddPage(page.failure_domain, result.response);
        !added)
      failure = added.error().detail;
  }
  const Time now = MonotonicNow();
  const bool may_retry = result.end != http::ExchangeEnd::kAnswered &&
                         page.tries < kMaxPageTries &&
                         now - began_ < kMaxRetryAge;
  if (!failure.empty() && may_retry) {
    monitor_.OnPageRepeated();
    ++page.tries;
    RequestPage(std::move(page));
    return;
  }
  monitor_.OnPage(page.failure_domain, failure, requested, now);
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
  if (first_skipped_.empty())
    first_skipped_ = page->first_skipped;
  if (page->next_page_token.empty())
    return {};
  if (requested_pages_ >= kMaxPages)
    return Fail(ErrorKind::kCorruptData, "the list has no end");
  RequestPage({failure_domain, page->next_page_token});
  return {};
}

void EndpointLister::OnReadEnd(Time now) {
  if (const auto record = monitor_.OnEnd(now))
    log::Write(*record);
  LogOutcome();
  EndpointListing listing{std::move(endpoints_), failure_.empty(),
                          skipped_endpoints_, now - began_};
  if (listing.is_complete) {
    const auto domains = static_cast<int>(failure_domains_.size());
    reads_by_domain_ = domains != 0 && requested_pages_ > domains;
  }
  const DoneHandler on_done = std::move(on_done_);
  if (next_on_done_) {
    on_done_ = std::exchange(next_on_done_, nullptr);
    Begin(now);
  }
  on_done(std::move(listing));
}

void EndpointLister::LogOutcome() {
  if (!failure_.empty()) {
    last_read_failed_ = true;
    return;
  }
  if (std::exchange(last_skipped_endpoints_, skipped_endpoints_) <
      skipped_endpoints_) {
    log::Warning(log::Category::kEntry,
                 std::to_string(skipped_endpoints_) +
                     " entries of the endpoint list are malformed and name no "
                     "endpoint. The first: " +
                     first_skipped_ + ".");
  }
  if (std::exchange(last_read_failed_, false))
    log::Info(log::Category::kEntry, "The endpoint list can be read again.");
}

}  // namespace jacinth

#include "jacinthroute/endpoint_lister.h"

#include <utility>

#include "core/http/status.h"
#include "core/log/log.h"

namespace jacinth {
namespace {

constexpr http::ExchangeLimits kPageLimits{500ms, 1500ms, 8UL << 20U};
constexpr Duration kMaxIdleTime = 5s;
/// Limits the number of pages in case the page tokens form a loop.
constexpr int kMaxPages = 1'000;

}  // namespace

EndpointLister::EndpointLister(http::EventClient& client,
                               std::string address,
                               MakeRequest make_request,
                               ParsePage parse_page)
    : client_(client),
      address_(std::move(address)),
      make_request_(std::move(make_request)),
      parse_page_(std::move(parse_page)) {}

void EndpointLister::Start(DoneHandler on_done) {
  if (reading_ || address_.empty())
    return;
  reading_ = true;
  requested_pages_ = 0;
  skipped_endpoints_ = 0;
  endpoints_.clear();
  on_done_ = std::move(on_done);
  RequestPage("");
}

void EndpointLister::RequestPage(const std::string& page_token) {
  ++requested_pages_;
  http::ClientCall call;
  call.address = address_;
  call.request = make_request_(page_token);
  call.limits = kPageLimits;
  call.max_idle = kMaxIdleTime;
  client_.Start(call,
                [this](const http::ExchangeResult& result) { OnPage(result); });
}

void EndpointLister::OnPage(const http::ExchangeResult& result) {
  if (result.end != http::ExchangeEnd::kAnswered) {
    OnFailure("no complete answer");
    return;
  }
  if (result.response.status != http::kStatusOk) {
    OnFailure("unexpected status " + std::to_string(result.response.status));
    return;
  }
  auto page = parse_page_(result.response);
  if (!page) {
    OnFailure(page.error().detail);
    return;
  }
  for (protocol::ListedEndpoint& endpoint : page->endpoints)
    endpoints_.push_back(std::move(endpoint));
  skipped_endpoints_ += page->skipped_endpoints;
  if (!page->next_page_token.empty()) {
    if (requested_pages_ < kMaxPages)
      RequestPage(page->next_page_token);
    else
      OnFailure("the list has no end");
    return;
  }
  reading_ = false;
  if (std::exchange(last_skipped_endpoints_, skipped_endpoints_) <
      skipped_endpoints_) {
    log::Warning(log::Category::kEntry,
                 std::to_string(skipped_endpoints_) +
                     " entries of the endpoint list are malformed and name no "
                     "endpoint.");
  }
  if (std::exchange(last_read_failed_, false))
    log::Info(log::Category::kEntry, "The endpoint list can be read again.");
  on_done_(std::move(endpoints_));
}

void EndpointLister::OnFailure(const std::string& reason) {
  reading_ = false;
  if (std::exchange(last_read_failed_, true))
    return;
  log::Warning(log::Category::kEntry, "Failed to read the endpoint list at " +
                                          address_ + ": " + reason + ".");
}

}  // namespace jacinth

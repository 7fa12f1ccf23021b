#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/http/event_client.h"
#include "core/metrics/registry.h"
#include "core/protocol/endpoint_list.h"
#include "jacinthroute/endpoint_read_monitor.h"
#include "jacinthroute/interface_adapter.h"

namespace jacinth {

/// The end of a reading of the platform's endpoint list.
struct EndpointListing {
  std::vector<protocol::ListedEndpoint> endpoints;
  /// False if pages could not be read.
  bool is_complete = false;
  /// Number of entries that name no usable endpoint.
  std::size_t skipped_entries = 0;
  /// Time since the reading began.
  Duration took{0};
};

/// Counts the reading, and sets the number of entries that were skipped.
void CountListing(const EndpointListing& listing, metrics::Registry& metrics);

/// Reads the platform's endpoint list page by page.
///
/// A list of more pages than there are failure domains is read by failure
/// domain, all at the same time, as each page names the next one and a list of
/// hundreds of endpoints would take seconds to read.
class EndpointLister {
 public:
  using MakeRequest =
      std::function<http::Request(const std::string& failure_domain,
                                  const std::string& page_token)>;
  using ParsePage = std::function<Result<EndpointPage>(const http::Response&)>;
  using DoneHandler = std::function<void(EndpointListing)>;

  /// Without `failure_domains`, the list is always read as a whole.
  EndpointLister(http::EventClient& client,
                 std::string address,
                 std::vector<std::string> failure_domains,
                 MakeRequest make_request,
                 ParsePage parse_page);

  /// Starts reading the list, once the reading in progress has ended if there
  /// is one. A page that can't be read is requested once more. Calls to Start()
  /// that wait for the same end share a reading.
  void Start(DoneHandler on_done);

 private:
  /// A page of the list.
  struct Page {
    std::string failure_domain;
    std::string token;
    int tries = 1;
  };

  void Begin(Time now);
  void RequestPage(Page page);
  void OnPage(Page page, Time requested, const http::ExchangeResult& result);
  // Adds a page, and requests the next one if there is one. Returns why the
  // list can't be read.
  Result<void> AddPage(const std::string& failure_domain,
                       const http::Response& response);
  void OnReadEnd(Time now);
  void LogOutcome();

  http::EventClient& client_;
  std::string address_;
  std::vector<std::string> failure_domains_;
  MakeRequest make_request_;
  ParsePage parse_page_;
  DoneHandler on_done_;
  /// Handler of the reading that begins when the one in progress ends.
  DoneHandler next_on_done_;
  Time began_{};
  bool reads_by_domain_;
  /// Requests whose answers are awaited.
  int open_requests_ = 0;
  int requested_pages_ = 0;
  /// Why the current read has failed; empty if it hasn't.
  std::string failure_;
  EndpointReadMonitor monitor_;
  bool last_read_failed_ = false;
  std::size_t skipped_endpoints_ = 0;
  std::size_t last_skipped_endpoints_ = 0;
  std::string first_skipped_;
  std::vector<protocol::ListedEndpoint> endpoints_;
};

}  // namespace jacinth

#pragma once

#include <functional>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/http/event_client.h"
#include "core/protocol/endpoint_list.h"
#include "jacinthroute/interface_adapter.h"

namespace jacinth {

/// Reads the platform's endpoint list page by page.
class EndpointLister {
 public:
  using MakeRequest =
      std::function<http::Request(const std::string& page_token)>;
  using ParsePage = std::function<Result<EndpointPage>(const http::Response&)>;
  using DoneHandler =
      std::function<void(std::vector<protocol::ListedEndpoint>)>;

  EndpointLister(http::EventClient& client,
                 std::string address,
                 MakeRequest make_request,
                 ParsePage parse_page);

  /// Starts reading the list unless a read is in progress. `on_done` is called
  /// only if the complete list was read.
  void Start(DoneHandler on_done);

 private:
  void RequestPage(const std::string& page_token);
  void OnPage(const http::ExchangeResult& result);
  void OnFailure(const std::string& reason);

  http::EventClient& client_;
  std::string address_;
  MakeRequest make_request_;
  ParsePage parse_page_;
  DoneHandler on_done_;
  bool reading_ = false;
  bool last_read_failed_ = false;
  int requested_pages_ = 0;
  std::size_t skipped_endpoints_ = 0;
  std::size_t last_skipped_endpoints_ = 0;
  std::vector<protocol::ListedEndpoint> endpoints_;
};

}  // namespace jacinth

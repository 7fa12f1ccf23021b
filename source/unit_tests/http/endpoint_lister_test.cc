#include "jacinthroute/endpoint_lister.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "core/http/event_server.h"
#include "core/http/status.h"
#include "unit_tests/support/port_reservation.h"

namespace jacinth {
namespace {

/// A list of endpoints that is served page by page, by failure domain or as a
/// whole. Each page has one endpoint, whose id is the page's target.
class PagedList {
 public:
  PagedList(std::vector<std::string> domains, int pages)
      : domains_(std::move(domains)),
        pages_(pages),
        ports_(1),
        address_("127.0.0.1:" + std::to_string(ports_.ports()[0])) {}

  void Serve(asio::io_context& context) {
    server_ = std::make_unique<http::EventServer>(
        context, [this](const std::shared_ptr<http::Transaction>& transaction) {
          const std::string& target = transaction->request().target;
          requests.push_back(target);
          http::Response response;
          response.status = target == fails_at ? http::kStatusServiceUnavailable
                                               : http::kStatusOk;
          response.body = target;
          transaction->Respond(std::move(response));
        });
    REQUIRE(server_->Listen(address_));
  }

  static http::Request MakeRequest(const std::string& domain,
                                   const std::string& token) {
    http::Request request;
    request.method = "GET";
    request.target = "/" + domain + "/" + token;
    return request;
  }

  Result<EndpointPage> Parse(const http::Response& response) const {
    EndpointPage page;
    protocol::ListedEndpoint endpoint;
    endpoint.id = response.body;
    page.endpoints.push_back(endpoint);
    const std::string token =
        response.body.substr(response.body.rfind('/') + 1);
    const int number = token.empty() ? 1 : std::stoi(token);
    const bool is_whole = response.body.rfind("//", 0) == 0;
    const int last =
        is_whole ? pages_ * static_cast<int>(domains_.size()) : pages_;
    if (number < last)
      page.next_page_token = std::to_string(number + 1);
    return page;
  }

  const std::vector<std::string>& domains() const { return domains_; }
  const std::string& address() const { return address_; }

  std::vector<std::string> requests;
  std::string fails_at;

 private:
  std::vector<std::string> domains_;
  int pages_;
  test::PortReservation ports_;
  std::string address_;
  std::unique_ptr<http::EventServer> server_;
};

struct Reader {
  explicit Reader(PagedList& list)
      : client(context, 8),
        lister(client,
               list.address(),
               list.domains(),
               PagedList::MakeRequest,
               [&list](const http::Response& response) {
                 return list.Parse(response);
               }) {
    list.Serve(context);
  }

  /// Reads the list once and returns the number of its endpoints; nothing if it
  /// can't be read.
  std::optional<std::size_t> ReadOnce() {
    std::optional<std::size_t> count;
    lister.Start([&](const std::vector<protocol::ListedEndpoint>& endpoints) {
      count = endpoints.size();
    });
    context.restart();
    context.run_for(std::chrono::milliseconds(300));
    return count;
  }

  asio::io_context context;
  http::EventClient client;
  EndpointLister lister;
};

}  // namespace

// Guards against drains that are heard too late, as a list of hundreds of
// endpoints takes a second to read page after page.
TEST_CASE("A long list is read by failure domain, all at the same time") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  CHECK(reader.ReadOnce() == 6U);
  const std::vector<std::string> first(list.requests.begin(),
                                       list.requests.begin() + 3);
  CHECK(first == std::vector<std::string>{"/a/", "/b/", "/c/"});
  list.requests.clear();
  CHECK(reader.ReadOnce() == 6U);
  CHECK(list.requests.front() == "/a/");
}

TEST_CASE("A short list is read as a whole, with fewer requests") {
  PagedList list({"a", "b", "c"}, 1);
  Reader reader(list);
  CHECK(reader.ReadOnce() == 3U);
  list.requests.clear();
  CHECK(reader.ReadOnce() == 3U);
  CHECK(list.requests.front() == "//");
}

TEST_CASE("A list of which one page fails isn't taken for complete") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  list.fails_at = "/b/2";
  CHECK_FALSE(reader.ReadOnce());
  list.fails_at.clear();
  CHECK(reader.ReadOnce() == 6U);
}

}  // namespace jacinth

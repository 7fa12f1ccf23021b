#include "jacinthroute/endpoint_lister.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/common/process_clock.h"
#include "core/http/event_server.h"
#include "core/http/status.h"
#include "core/log/log.h"
#include "unit_tests/support/captured_output.h"
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
          if (target == drops_once) {
            drops_once.clear();
            return;
          }
          if (target == stalls_once_at) {
            stalls_once_at.clear();
            stalled_ = transaction;
            return;
          }
          http::Response response;
          response.status = target == fails_at ? http::kStatusServiceUnavailable
                                               : http::kStatusOk;
          response.body = target;
          transaction->Respond(std::move(response));
        });
    REQUIRE(server_->Listen(address_));
  }

  /// Must be called while the context of Serve() exists.
  void Close() {
    stalled_.reset();
    server_.reset();
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
    page.skipped_endpoints = skipped_entries;
    if (skipped_entries != 0)
      page.first_skipped = "entry 3 of " + response.body;
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
  /// Number of entries of each page that name no endpoint.
  std::size_t skipped_entries = 0;
  /// Target of a request that is dropped with its connection.
  std::string drops_once;
  /// The next request for this target isn't answered.
  std::string stalls_once_at;

 private:
  std::vector<std::string> domains_;
  int pages_;
  test::PortReservation ports_;
  std::string address_;
  std::unique_ptr<http::EventServer> server_;
  std::shared_ptr<http::Transaction> stalled_;
};

struct Reader {
  explicit Reader(PagedList& served)
      : list(served),
        client(context, 8),
        lister(client,
               list.address(),
               list.domains(),
               PagedList::MakeRequest,
               [this](const http::Response& response) {
                 return list.Parse(response);
               }) {
    list.Serve(context);
  }
  ~Reader() { list.Close(); }
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;

  /// Reads the list once and returns the number of its endpoints; nothing if it
  /// can't be read.
  std::optional<std::size_t> ReadOnce() {
    std::optional<std::size_t> count;
    lister.Start([&](const EndpointListing& listing) {
      if (listing.is_complete)
        count = listing.endpoints.size();
      else
        incomplete = listing.endpoints.size();
    });
    context.restart();
    context.run_for(std::chrono::milliseconds(300));
    return count;
  }

  PagedList& list;
  asio::io_context context;
  http::EventClient client;
  EndpointLister lister;
  /// Number of endpoints of the last reading that was not complete.
  std::optional<std::size_t> incomplete;
};

// Returns the value of a text or a whole number; empty if `record` has no such
// field.
std::string FieldOf(const log::Record& record, std::string_view name) {
  for (const log::Field& field : record.fields) {
    if (field.name != name)
      continue;
    if (const auto* text = std::get_if<std::string>(&field.value))
      return *text;
    return std::to_string(std::get<std::int64_t>(field.value));
  }
  return "";
}

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

// Guards against drains that are heard too late, as one page of twenty fails.
TEST_CASE("What the other pages say is passed on though one fails") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  list.fails_at = "/b/";
  CHECK_FALSE(reader.ReadOnce());
  CHECK(reader.incomplete == 4U);
}

TEST_CASE("A page that gets no answer is requested once more") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  list.drops_once = "/b/2";
  CHECK(reader.ReadOnce() == 6U);
  CHECK(std::count(list.requests.begin(), list.requests.end(), "/b/2") == 2);
}

// Guards against an interval between readings that doubles when one takes a
// little longer than the interval.
TEST_CASE("A reading that is due begins when the one in progress ends") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  int ends = 0;
  const auto count_end = [&](const EndpointListing& listing) {
    CHECK(listing.endpoints.size() == 6);
    ++ends;
  };
  for (int i = 0; i < 3; ++i)
    reader.lister.Start(count_end);
  reader.context.run_for(std::chrono::milliseconds(300));
  CHECK(ends == 2);
}

// Pattern: an endpoint leaves right after the list was read, and one page of
// the next read isn't answered. Guards against drains that are heard too late,
// as the read fails only after the time at which the one after it is due.
TEST_CASE("A drain is read in time though a page wasn't answered") {
  constexpr Duration kListInterval = 1s;
  // The time until no request may reach the endpoint, less the time for a
  // connection and for sending a request.
  constexpr Duration kMaxReadDelay = 3000ms - 500ms;
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  CHECK(reader.ReadOnce() == 6U);
  const Time shown = MonotonicNow();
  list.stalls_once_at = "/b/";
  std::optional<Time> read;
  for (int interval = 1; !read && interval <= 5; ++interval) {
    reader.context.restart();
    reader.context.run_for(shown + interval * kListInterval - MonotonicNow());
    reader.lister.Start([&](const EndpointListing& listing) {
      if (!read && listing.is_complete)
        read = MonotonicNow();
    });
  }
  REQUIRE(read);
  CHECK(ToMillis(*read - shown) <= ToMillis(kMaxReadDelay));
}

TEST_CASE("Each read of the list that fails is logged with the failed page") {
  PagedList list({"a", "b", "c"}, 2);
  Reader reader(list);
  list.fails_at = "/b/2";
  std::string text;
  {
    test::CapturedOutput output;
    log::Start("info", "c1");
    reader.ReadOnce();
    reader.ReadOnce();
    log::Stop();
    text = output.ReadAvailable();
  }
  std::istringstream lines(text);
  for (int read = 0; read < 2; ++read) {
    std::string line;
    REQUIRE(std::getline(lines, line));
    const auto record = nlohmann::json::parse(line);
    CHECK(record["event"] == "endpoint_read_failed");
    CHECK(record["failure_domain"] == "b");
    CHECK(record["detail"] == "unexpected status 503");
    CHECK(record["pages_failed"] == 1);
    CHECK(record["pages_dropped"] == 5);
  }
}

// Guards against entries of other writers that nobody notices.
TEST_CASE("Skipped entries are counted, and logged once with their place") {
  PagedList list({"a"}, /*pages=*/2);
  Reader reader(list);
  list.skipped_entries = 2;
  std::string text;
  metrics::Registry metrics;
  {
    test::CapturedOutput output;
    log::Start("info", "c1");
    for (int read = 0; read < 2; ++read) {
      reader.lister.Start([&](const EndpointListing& listing) {
        CHECK(listing.skipped_entries == 4);
        CountListing(listing, metrics);
      });
      reader.context.restart();
      reader.context.run_for(std::chrono::milliseconds(300));
    }
    log::Stop();
    text = output.ReadAvailable();
  }
  const std::string place =
      "4 entries of the endpoint list are malformed and "
      "name no endpoint. The first: entry 3 of /a/.";
  CHECK(text.find(place) != std::string::npos);
  CHECK(text.find(place) == text.rfind(place));
  CHECK(metrics.ToText().find("jacinth_skipped_list_entries 4") !=
        std::string::npos);
  CHECK(metrics.ToText().find("jacinth_list_reads_total{end=\"complete\"} 2") !=
        std::string::npos);
  list.fails_at = "/a/2";
  reader.lister.Start(
      [&](const EndpointListing& listing) { CountListing(listing, metrics); });
  reader.context.restart();
  reader.context.run_for(std::chrono::milliseconds(300));
  CHECK(
      metrics.ToText().find("jacinth_list_reads_total{end=\"incomplete\"} 1") !=
      std::string::npos);
}

TEST_CASE("The log of a failed read tells its duration and its first failure") {
  const Time start(100s);
  EndpointReadMonitor monitor;
  monitor.OnStart(start);
  monitor.OnPage("a", "", start, start + 40ms);
  monitor.OnPage("b", "timed out", start + 10ms, start + 1510ms);
  monitor.OnPage("c", "connection lost", start, start + 1600ms);
  const auto record = monitor.OnEnd(start + 1600ms);
  REQUIRE(record);
  CHECK(record->event == "endpoint_read_failed");
  CHECK(FieldOf(*record, "took_ms") == "1600");
  CHECK(FieldOf(*record, "failure_domain") == "b");
  CHECK(FieldOf(*record, "detail") == "timed out");
  CHECK(FieldOf(*record, "page_ms") == "1500");
  CHECK(FieldOf(*record, "pages_dropped") == "1");
  CHECK(FieldOf(*record, "pages_failed") == "2");
}

TEST_CASE("A complete read is logged only if it was slow") {
  const Time start(100s);
  EndpointReadMonitor monitor;
  monitor.OnStart(start);
  monitor.OnPage("a", "", start, start + 499ms);
  CHECK_FALSE(monitor.OnEnd(start + 499ms));
  monitor.OnStart(start);
  monitor.OnPage("a", "", start, start + 600ms);
  monitor.OnStartDeferred();
  monitor.OnPage("b", "", start, start + 200ms);
  const auto record = monitor.OnEnd(start + 600ms);
  REQUIRE(record);
  CHECK(record->event == "endpoint_read_was_slow");
  CHECK(FieldOf(*record, "took_ms") == "600");
  CHECK(FieldOf(*record, "pages") == "2");
  CHECK(FieldOf(*record, "failure_domain") == "a");
  CHECK(FieldOf(*record, "deferred_starts") == "1");
}

}  // namespace jacinth

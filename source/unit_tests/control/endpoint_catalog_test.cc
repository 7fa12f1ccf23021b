#include "core/control/endpoint_catalog.h"

#include <map>
#include <rapidcheck.h>
#include <string>

#include <catch2/catch.hpp>

namespace jacinth::control {
namespace {

using protocol::EndpointUpdate;
using protocol::ListedEndpoint;

constexpr Time kNow{100s};

ListedEndpoint Endpoint(const std::string& id, bool draining = false) {
  ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = 1;
  endpoint.service = "s";
  endpoint.address = "10.0.0.1:1";
  endpoint.slots = 2;
  endpoint.draining = draining;
  return endpoint;
}

/// An entry's copy of the endpoint list, built from the catalog's updates.
class EntryCopy {
 public:
  void Update(const EndpointCatalog& catalog) {
    const EndpointUpdate update = catalog.UpdateFor(version_, kNow);
    if (update.version == 0)
      return;
    if (update.base == 0)
      endpoints_.clear();
    for (const ListedEndpoint& item : update.changed)
      endpoints_[item.id] = item;
    for (const std::string& id : update.removed)
      endpoints_.erase(id);
    version_ = update.version;
  }

  const std::map<std::string, ListedEndpoint>& endpoints() const {
    return endpoints_;
  }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, ListedEndpoint> endpoints_;
};

}  // namespace

TEST_CASE("A draining endpoint stays draining until it restarts") {
  EndpointCatalog catalog;
  catalog.Reset(1);
  EntryCopy entry;
  catalog.ApplyListing({Endpoint("a", true)}, kNow);
  // A listing from before the drain arrives late.
  catalog.ApplyListing({Endpoint("a", false)}, kNow);
  entry.Update(catalog);
  CHECK(entry.endpoints().at("a").draining);
  ListedEndpoint restarted = Endpoint("a");
  restarted.started_ms = 2;
  catalog.ApplyListing({restarted}, kNow);
  entry.Update(catalog);
  CHECK_FALSE(entry.endpoints().at("a").draining);
}

TEST_CASE("A listing without changes keeps the version") {
  EndpointCatalog catalog;
  catalog.Reset(3);
  CHECK(catalog.ApplyListing({Endpoint("a")}, kNow));
  const std::uint64_t version = catalog.version();
  CHECK_FALSE(catalog.ApplyListing({Endpoint("a")}, kNow + 1s));
  CHECK(catalog.version() == version);
}

TEST_CASE("An endpoint that becomes cold again counts as changed") {
  EndpointCatalog catalog;
  catalog.Reset(1);
  ListedEndpoint endpoint = Endpoint("a");
  catalog.ApplyListing({endpoint}, kNow);
  endpoint.cold_for_ms = 3'000;
  CHECK(catalog.ApplyListing({endpoint}, kNow));
  endpoint.cold_for_ms = 2'500;
  CHECK_FALSE(catalog.ApplyListing({endpoint}, kNow + 500ms));
}

TEST_CASE("Property: applying the updates reproduces the endpoint list") {
  CHECK(rc::check([] {
    EndpointCatalog catalog;
    catalog.Reset(1);
    EntryCopy frequent;
    EntryCopy rare;
    std::map<std::string, ListedEndpoint> expected;
    const int listings = *rc::gen::inRange(1, 30);
    for (int i = 0; i < listings; ++i) {
      std::vector<ListedEndpoint> list;
      for (int id = 0; id < 6; ++id) {
        if (*rc::gen::inRange(0, 3) == 0)
          continue;
        ListedEndpoint endpoint = Endpoint("e" + std::to_string(id));
        endpoint.started_ms = *rc::gen::inRange(1, 4);
        list.push_back(endpoint);
      }
      catalog.ApplyListing(list, kNow);
      expected.clear();
      for (const ListedEndpoint& endpoint : list)
        expected[endpoint.id] = endpoint;
      frequent.Update(catalog);
      if (*rc::gen::inRange(0, 4) == 0)
        rare.Update(catalog);
    }
    rare.Update(catalog);
    RC_ASSERT(frequent.endpoints() == expected);
    RC_ASSERT(rare.endpoints() == expected);
  }));
}

// Guards against a process that has ended, and is listed for some seconds
// beside the one that has started under its id elsewhere, and takes its place.
TEST_CASE("Of two processes of an id the one that started last is listed") {
  const bool is_last_first = GENERATE(false, true);
  CAPTURE(is_last_first);
  ListedEndpoint last = Endpoint("a");
  last.started_ms = 2;
  last.address = "10.0.0.2:1";
  std::vector<ListedEndpoint> list = {Endpoint("a", true), last};
  if (is_last_first)
    std::swap(list[0], list[1]);
  EndpointCatalog catalog;
  catalog.Reset(1);
  catalog.ApplyListing(list, kNow);
  CHECK(catalog.Endpoints(kNow) == std::vector{last});
  CHECK_FALSE(catalog.ApplyListing(list, kNow));
}

}  // namespace jacinth::control

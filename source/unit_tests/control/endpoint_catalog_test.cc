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

/// Applies the catalog's updates as an entry does.
class Follower {
 public:
  void Follow(const EndpointCatalog& catalog) {
    const EndpointUpdate update = catalog.UpdateFor(version_, kNow);
    if (update.version == 0)
      return;
    if (update.base == 0)
      rows_.clear();
    for (const ListedEndpoint& row : update.changed)
      rows_[row.id] = row;
    for (const std::string& id : update.removed)
      rows_.erase(id);
    version_ = update.version;
  }

  const std::map<std::string, ListedEndpoint>& rows() const { return rows_; }

 private:
  std::uint64_t version_ = 0;
  std::map<std::string, ListedEndpoint> rows_;
};

}  // namespace

TEST_CASE("A draining endpoint stays draining until it restarts") {
  EndpointCatalog catalog;
  catalog.Reset(1);
  Follower entry;
  catalog.Take({Endpoint("a", true)}, kNow);
  // A reading from before the drain arrives late.
  catalog.Take({Endpoint("a", false)}, kNow);
  entry.Follow(catalog);
  CHECK(entry.rows().at("a").draining);
  ListedEndpoint again = Endpoint("a");
  again.started_ms = 2;
  catalog.Take({again}, kNow);
  entry.Follow(catalog);
  CHECK_FALSE(entry.rows().at("a").draining);
}

TEST_CASE("A reading without changes keeps the version") {
  EndpointCatalog catalog;
  catalog.Reset(3);
  CHECK(catalog.Take({Endpoint("a")}, kNow));
  const std::uint64_t version = catalog.version();
  CHECK_FALSE(catalog.Take({Endpoint("a")}, kNow + 1s));
  CHECK(catalog.version() == version);
}

TEST_CASE("An endpoint that becomes cold again counts as changed") {
  EndpointCatalog catalog;
  catalog.Reset(1);
  ListedEndpoint endpoint = Endpoint("a");
  catalog.Take({endpoint}, kNow);
  endpoint.cold_for_ms = 3'000;
  CHECK(catalog.Take({endpoint}, kNow));
  endpoint.cold_for_ms = 2'500;
  CHECK_FALSE(catalog.Take({endpoint}, kNow + 500ms));
}

TEST_CASE("Property: applying the updates reproduces the list") {
  CHECK(rc::check([] {
    EndpointCatalog catalog;
    catalog.Reset(1);
    Follower often;
    Follower seldom;
    std::map<std::string, ListedEndpoint> last;
    const int readings = *rc::gen::inRange(1, 30);
    for (int i = 0; i < readings; ++i) {
      std::vector<ListedEndpoint> list;
      for (int id = 0; id < 6; ++id) {
        if (*rc::gen::inRange(0, 3) == 0)
          continue;
        ListedEndpoint endpoint = Endpoint("e" + std::to_string(id));
        endpoint.started_ms = *rc::gen::inRange(1, 4);
        list.push_back(endpoint);
      }
      catalog.Take(list, kNow);
      last.clear();
      for (const ListedEndpoint& endpoint : list)
        last[endpoint.id] = endpoint;
      often.Follow(catalog);
      if (*rc::gen::inRange(0, 4) == 0)
        seldom.Follow(catalog);
    }
    seldom.Follow(catalog);
    RC_ASSERT(often.rows() == last);
    RC_ASSERT(seldom.rows() == last);
  }));
}

}  // namespace jacinth::control

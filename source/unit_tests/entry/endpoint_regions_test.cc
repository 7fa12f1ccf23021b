#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/entry_driver.h"

namespace jacinth::entry {
namespace {

using test::EntryDriver;

/// A route that only the west may serve, and one that all regions may.
std::string RouteSettingsText() {
  return "[route/west]\nhost = h\npath_prefix = /west/\nservice = s\n"
         "execution = repeatable\naffinity = true\nregions = west\n"
         "request_timeout_ms = 2000\n"
         "[route/any]\nhost = h\npath_prefix = /any/\nservice = t\n"
         "execution = repeatable\nrequest_timeout_ms = 2000\n"
         "[service/s]\nprobe_interval_ms = 0\n"
         "[service/t]\nprobe_interval_ms = 0\n";
}

protocol::ListedEndpoint MakeListed(const std::string& id,
                                    const std::string& failure_domain,
                                    const std::string& address,
                                    std::int64_t started_ms = 1) {
  protocol::ListedEndpoint endpoint;
  endpoint.id = id;
  endpoint.started_ms = started_ms;
  endpoint.service = "s";
  endpoint.address = address;
  endpoint.failure_domain = failure_domain;
  endpoint.slots = 100;
  return endpoint;
}

/// Who tells the entry of the endpoints.
enum class ListSource { kLeader, kPlatform };

class RegionalEntry {
 public:
  explicit RegionalEntry(ListSource source)
      : source_(source), driver_(MakeOptions()) {
    driver_.ApplySettings(RouteSettingsText());
  }

  void List(std::vector<protocol::ListedEndpoint> endpoints) {
    if (source_ == ListSource::kPlatform) {
      // Nobody else vouches for a list.
      driver_.now += 10s;
      driver_.Step(EndpointsListed{std::move(endpoints), true, 100ms});
      return;
    }
    protocol::HeartbeatReply reply;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.endpoints.version = ++version_;
    reply.endpoints.changed = std::move(endpoints);
    driver_.Step(MessageReceived{"c1", reply});
  }

  void SetSliceOwner(const std::string& object, const std::string& endpoint) {
    protocol::HeartbeatReply reply;
    reply.leader = true;
    reply.leader_hint = "c1";
    reply.slices.version = ++version_;
    reply.slices.changed = {
        {"s", forwarding::SliceMap::SliceOf(object), endpoint}};
    driver_.Step(MessageReceived{"c1", reply});
  }

  /// Sends requests and returns the addresses that they are sent to.
  std::set<std::string> SendRequests(const std::string& path) {
    std::set<std::string> addresses;
    for (int i = 0; i < 20; ++i) {
      const std::size_t before = driver_.attempts.size();
      RequestArrived arrival;
      arrival.ticket = ++driver_.last_ticket;
      arrival.host = "h";
      arrival.method = "GET";
      arrival.path = path;
      arrival.object = kObject;
      driver_.Step(arrival);
      if (driver_.attempts.size() == before)
        continue;
      const StartAttempt attempt = driver_.attempts.back();
      addresses.insert(attempt.address);
      driver_.EndAttempt(attempt, forwarding::AttemptEnd::kAnswered);
    }
    return addresses;
  }

  static constexpr const char* kObject = "object";

 private:
  static EntryOptions MakeOptions() {
    EntryOptions options = EntryDriver::DefaultOptions();
    options.failure_domain_regions = {{"west-a", "west"}, {"east-a", "east"}};
    options.can_list_endpoints = true;
    return options;
  }

  ListSource source_;
  EntryDriver driver_;
  std::uint64_t version_ = 0;
};

using Addresses = std::set<std::string>;
constexpr const char* kFirst = "10.0.0.1:1";
constexpr const char* kSecond = "10.0.0.2:1";
constexpr const char* kThird = "10.0.0.3:1";

}  // namespace

// Guards against an entry that keeps the region of an endpoint which it knows
// already.
TEST_CASE("An endpoint that comes back elsewhere is in its new region") {
  const ListSource source =
      GENERATE(ListSource::kLeader, ListSource::kPlatform);
  const std::string address = GENERATE(as<std::string>{}, kFirst, kThird);
  const std::int64_t started_ms = GENERATE(1, 2);
  CAPTURE(address, started_ms);
  RegionalEntry entry(source);
  entry.List(
      {MakeListed("a", "west-a", kFirst), MakeListed("b", "east-a", kSecond)});
  CHECK(entry.SendRequests("/west/") == Addresses{kFirst});
  entry.List({MakeListed("a", "east-a", address, started_ms),
              MakeListed("b", "east-a", kSecond)});
  CHECK(entry.SendRequests("/west/").empty());
  entry.List({MakeListed("a", "west-a", address, started_ms),
              MakeListed("b", "east-a", kSecond)});
  CHECK(entry.SendRequests("/west/") == Addresses{address});
}

TEST_CASE("An endpoint of an unknown region serves no route with regions") {
  const ListSource source =
      GENERATE(ListSource::kLeader, ListSource::kPlatform);
  RegionalEntry entry(source);
  entry.List(
      {MakeListed("a", "north-a", kFirst), MakeListed("b", "", kSecond)});
  CHECK(entry.SendRequests("/west/").empty());
}

TEST_CASE("An owner of a slice outside the route's regions gets no requests") {
  RegionalEntry entry(ListSource::kLeader);
  entry.List(
      {MakeListed("a", "west-a", kFirst), MakeListed("b", "east-a", kSecond)});
  entry.SetSliceOwner(RegionalEntry::kObject, "b");
  CHECK(entry.SendRequests("/west/") == Addresses{kFirst});
  entry.List({MakeListed("b", "east-a", kSecond)});
  CHECK(entry.SendRequests("/west/").empty());
}

// Guards against requests that go to the region of another endpoint which has
// taken the address of one that has ended and is still listed.
TEST_CASE("An address is that of the endpoint that started there last") {
  const ListSource source =
      GENERATE(ListSource::kLeader, ListSource::kPlatform);
  RegionalEntry entry(source);
  protocol::ListedEndpoint later = MakeListed("c", "east-a", kFirst, 2);
  later.service = GENERATE(as<std::string>{}, "s", "t");
  entry.List({MakeListed("a", "west-a", kFirst),
              MakeListed("b", "west-a", kSecond), later});
  CHECK(entry.SendRequests("/west/") == Addresses{kSecond});
  if (later.service == "t")
    CHECK(entry.SendRequests("/any/") == Addresses{kFirst});
}

// Guards against an entry of another writer in the platform's list, of a
// service that nobody knows, that takes a sound endpoint out of use.
TEST_CASE("An endpoint of an unknown service replaces none at its address") {
  const ListSource source =
      GENERATE(ListSource::kLeader, ListSource::kPlatform);
  RegionalEntry entry(source);
  protocol::ListedEndpoint foreign = MakeListed("c", "east-a", kFirst, 2);
  foreign.service = "unknown";
  entry.List({MakeListed("a", "west-a", kFirst), foreign});
  CHECK(entry.SendRequests("/west/") == Addresses{kFirst});
}

// Guards against a process that has ended, and is listed for some seconds
// beside the one that has started under its id elsewhere, and takes its place.
TEST_CASE("An id that is listed twice is that of the process started last") {
  const bool is_last_first = GENERATE(false, true);
  CAPTURE(is_last_first);
  RegionalEntry entry(ListSource::kPlatform);
  std::vector<protocol::ListedEndpoint> list = {
      MakeListed("a", "east-a", kFirst, 1),
      MakeListed("a", "west-a", kSecond, 2)};
  if (is_last_first)
    std::swap(list[0], list[1]);
  entry.List(list);
  CHECK(entry.SendRequests("/west/") == Addresses{kSecond});
}

}  // namespace jacinth::entry

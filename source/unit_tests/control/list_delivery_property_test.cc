#include <cstdint>
#include <deque>
#include <rapidcheck.h>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/control/sent_version.h"
#include "core/control/slice_assignment.h"
#include "core/forwarding/slice_map.h"

namespace jacinth::control {
namespace {

constexpr std::uint32_t kSlices = 12;
constexpr Duration kResendAfter = 1s;

/// A leader and an entry, between which messages are lost, repeated and late.
class Delivery {
 public:
  Delivery() { assignment_.Reset(term_, {}); }

  void Claim(std::uint32_t slice, int endpoint) {
    assignment_.Claim("e" + std::to_string(endpoint % 2),
                      {{"s", slice, "i-" + std::to_string(endpoint)},
                       protocol::SliceClaimReason::kOwnerUnusable},
                      now_);
  }

  /// The next leader knows the owners that were recorded by then.
  void ChangeLeader(bool has_recorded) {
    if (has_recorded) {
      for (const protocol::SliceOwner& owner :
           assignment_.TakeUnrecordedOwners())
        recorded_.push_back(owner);
    }
    assignment_.Reset(++term_, recorded_);
    sent_ = {};
  }

  void UseSlice(std::uint32_t slice) {
    entry_.RecordSend("s", slice, "i-own", true);
  }

  /// The entry's heartbeat reaches the leader, which answers.
  void Heartbeat() {
    for (const protocol::SliceClaim& claim : entry_.TakeClaims())
      assignment_.Claim("e", claim, now_);
    sent_.OnHeld(entry_.version(), now_);
    const std::uint64_t base = sent_.Base(now_);
    if (base == assignment_.version())
      return;
    if (assignment_.IsFromTerm(base)) {
      messages_.push_back({++sequence_, assignment_.UpdateFor(base)});
    } else {
      told_with_ = ++sequence_;
      messages_.push_back(
          {sequence_, assignment_.UpdateForDigest(entry_.TellDigest())});
    }
    sent_.OnSent(assignment_.version(), kResendAfter, now_);
  }

  void Deliver(bool is_lost, bool is_repeated) {
    if (messages_.empty())
      return;
    const Message message = messages_.front();
    messages_.pop_front();
    if (is_lost)
      return;
    const std::uint64_t before = entry_.version();
    if (!message.update.parts || message.sequence == told_with_)
      entry_.ApplyUpdate(message.update);
    RC_ASSERT(entry_.version() >= before);
    if (is_repeated)
      messages_.push_back(message);
  }

  void Advance(Duration duration) { now_ += duration; }

  void CheckSame() {
    for (int i = 0; i < 20; ++i) {
      Advance(2 * kResendAfter);
      for (std::uint32_t slice = 0; slice < kSlices; ++slice) {
        const std::string owner = entry_.OwnerOf("s", slice);
        if (!owner.empty())
          entry_.RecordSend("s", slice, owner, true);
      }
      Heartbeat();
      while (!messages_.empty())
        Deliver(false, false);
    }
    RC_ASSERT(entry_.version() == assignment_.version());
    for (const protocol::SliceOwner& owner : assignment_.UpdateFor(0).changed) {
      if (!owner.endpoint.empty())
        RC_ASSERT(entry_.OwnerOf("s", owner.slice) == owner.endpoint);
    }
  }

 private:
  struct Message {
    std::uint64_t sequence;
    protocol::SliceUpdate update;
  };

  Time now_{100s};
  std::uint64_t term_ = 1;
  SliceAssignment assignment_;
  std::vector<protocol::SliceOwner> recorded_;
  SentVersion sent_;
  forwarding::SliceMap entry_;
  std::uint64_t sequence_ = 0;
  /// Sequence number of the last digest that the entry told.
  std::uint64_t told_with_ = 0;
  std::deque<Message> messages_;
};

}  // namespace

TEST_CASE(
    "Property: an entry ends with the leader's owners, whatever is lost, late "
    "or repeated and however often the leader changes") {
  CHECK(rc::check([] {
    Delivery delivery;
    const int steps = *rc::gen::inRange(1, 80);
    for (int i = 0; i < steps; ++i) {
      const auto slice = *rc::gen::inRange<std::uint32_t>(0, kSlices);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          delivery.ChangeLeader(*rc::gen::arbitrary<bool>());
          break;
        case 1:
          delivery.UseSlice(slice);
          break;
        case 2:
        case 3:
          delivery.Claim(slice, *rc::gen::inRange(0, 4));
          break;
        case 4:
        case 5:
          delivery.Heartbeat();
          break;
        case 6:
          delivery.Advance(300ms);
          break;
        default:
          delivery.Deliver(*rc::gen::inRange(0, 3) == 0,
                           *rc::gen::inRange(0, 4) == 0);
          break;
      }
    }
    delivery.CheckSame();
  }));
}

TEST_CASE("What was sent is not sent again before it must be lost") {
  SentVersion sent;
  constexpr Time kStart{100s};
  sent.OnHeld(3, kStart);
  CHECK(sent.Base(kStart) == 3);
  sent.OnSent(5, kResendAfter, kStart);
  SECTION("a heartbeat crosses it") {
    sent.OnHeld(3, kStart + 100ms);
    CHECK(sent.Base(kStart + 100ms) == 5);
  }
  SECTION("it is confirmed") {
    sent.OnHeld(5, kStart + 100ms);
    CHECK(sent.Base(kStart + 5s) == 5);
  }
  SECTION("it is lost, while more is sent") {
    sent.OnSent(6, kResendAfter, kStart + 900ms);
    sent.OnHeld(3, kStart + 1s);
    CHECK(sent.Base(kStart + 1s) == 3);
    sent.OnSent(6, kResendAfter, kStart + 1s);
    CHECK(sent.Base(kStart + 1500ms) == 6);
  }
  SECTION("a part of it is confirmed") {
    sent.OnSent(6, kResendAfter, kStart + 900ms);
    sent.OnHeld(5, kStart + 990ms);
    CHECK(sent.Base(kStart + 1500ms) == 6);
    CHECK(sent.Base(kStart + 2s) == 5);
  }
  SECTION("the entry starts again") {
    sent.OnHeld(0, kStart + 100ms);
    CHECK(sent.Base(kStart + 100ms) == 0);
  }
}

}  // namespace jacinth::control

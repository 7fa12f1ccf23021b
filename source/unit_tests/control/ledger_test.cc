#include "core/control/ledger.h"

#include <map>
#include <optional>
#include <rapidcheck.h>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/state.h>

namespace jacinth::control {
namespace {

using protocol::ClaimRequest;
using protocol::ClaimVerdict;
using protocol::FinishRequest;

constexpr Duration kRetention = 60s;
constexpr WallMillis kStart = 1'700'000'000'000;

ClaimRequest MakeClaim(const std::string& attempt,
                       const std::string& key,
                       std::uint64_t fingerprint = 1) {
  return {attempt, {"svc/", key}, fingerprint, 1'000, ""};
}

FinishRequest MakeFinish(const std::string& attempt,
                         const std::string& key,
                         Outcome outcome) {
  return {attempt, {"svc/", key}, outcome, {200, "t", attempt, false}};
}

/// Expected state of one key.
struct KeyModel {
  std::string holder;
  std::optional<Outcome> ended;
  WallMillis deadline = 0;
};

struct LedgerModel {
  WallMillis now = kStart;
  int attempts = 0;
  std::map<int, KeyModel> keys;
};

using LedgerCommand = rc::state::Command<LedgerModel, Ledger>;

struct ClaimStep : LedgerCommand {
  int key = *rc::gen::inRange(0, 3);

  void apply(LedgerModel& model) const override {
    const std::string attempt = std::to_string(++model.attempts);
    KeyModel& key_state = model.keys[key];
    const bool is_free =
        key_state.holder.empty() || key_state.ended == Outcome::kNotRun;
    if (is_free)
      key_state = {attempt, std::nullopt, model.now + 1'000};
  }

  void run(const LedgerModel& model, Ledger& ledger) const override {
    const std::string attempt = std::to_string(model.attempts + 1);
    const ClaimResult result =
        ledger.Claim(MakeClaim(attempt, std::to_string(key)), model.now);
    const auto found = model.keys.find(key);
    const bool is_free =
        found == model.keys.end() || found->second.ended == Outcome::kNotRun;
    RC_ASSERT((result.verdict == ClaimVerdict::kGranted) == is_free);
    if (is_free)
      return;
    const KeyModel& key_state = found->second;
    if (key_state.ended == Outcome::kRan) {
      RC_ASSERT(result.verdict == ClaimVerdict::kRan);
      RC_ASSERT(result.answer.body == key_state.holder);
      return;
    }
    const bool in_time = !key_state.ended && model.now <= key_state.deadline;
    RC_ASSERT(result.verdict ==
              (in_time ? ClaimVerdict::kInProgress : ClaimVerdict::kUnknown));
  }
};

struct FinishStep : LedgerCommand {
  int key = *rc::gen::inRange(0, 3);
  Outcome outcome =
      *rc::gen::element(Outcome::kRan, Outcome::kNotRun, Outcome::kUnknown);

  void checkPreconditions(const LedgerModel& model) const override {
    RC_PRE(model.keys.count(key) != 0);
  }
  void apply(LedgerModel& model) const override {
    KeyModel& key_state = model.keys[key];
    if (!key_state.ended)
      key_state.ended = outcome;
  }
  void run(const LedgerModel& model, Ledger& ledger) const override {
    ledger.Finish(
        MakeFinish(model.keys.at(key).holder, std::to_string(key), outcome),
        model.now);
  }
};

struct WaitStep : LedgerCommand {
  int millis = *rc::gen::inRange(0, 700);

  void apply(LedgerModel& model) const override { model.now += millis; }
  void run(const LedgerModel& model, Ledger& ledger) const override {
    ledger.Prune(model.now + millis, kRetention);
  }
};

struct SnapshotStep : LedgerCommand {
  void run(const LedgerModel&, Ledger& ledger) const override {
    Ledger copy;
    copy.Restore(ledger.Records(), ledger.forgotten_before());
    ledger = copy;
  }
};

// Returns a version 7 UUID issued at `millis`.
std::string MakeKeyIssuedAt(WallMillis millis) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex(12, '0');
  for (std::size_t i = hex.size(); i-- > 0; millis /= 16)
    hex[i] = kDigits[millis % 16];
  return hex.substr(0, 8) + "-" + hex.substr(8) + "-7000-8000-000000000000";
}

}  // namespace

TEST_CASE(
    "Property: a key is granted to only one attempt until it is released") {
  const bool ok = rc::check("ledger", [] {
    LedgerModel model;
    Ledger ledger;
    rc::state::check(
        model, ledger,
        rc::state::gen::execOneOfWithArgs<ClaimStep, FinishStep, WaitStep,
                                          SnapshotStep>());
  });
  CHECK(ok);
}

TEST_CASE("A claim that arrives after its attempt ended is not granted") {
  Ledger ledger;
  ledger.Finish(MakeFinish("a", "k", Outcome::kNotRun), kStart);
  CHECK(ledger.Claim(MakeClaim("a", "k"), kStart).verdict ==
        ClaimVerdict::kAttemptClosed);
  CHECK(ledger.Claim(MakeClaim("b", "k"), kStart).verdict ==
        ClaimVerdict::kGranted);
}

TEST_CASE("The end of an attempt that does not hold the key has no effect") {
  Ledger ledger;
  ledger.Claim(MakeClaim("a", "k"), kStart);
  ledger.Finish(MakeFinish("b", "k", Outcome::kNotRun), kStart);
  CHECK(ledger.Claim(MakeClaim("c", "k"), kStart).verdict ==
        ClaimVerdict::kInProgress);
}

TEST_CASE("A key reused for another request is refused") {
  Ledger ledger;
  ledger.Claim(MakeClaim("a", "k", 1), kStart);
  CHECK(ledger.Claim(MakeClaim("b", "k", 2), kStart).verdict ==
        ClaimVerdict::kKeyReused);
}

TEST_CASE("A released and reclaimed key is kept for the whole retention") {
  Ledger ledger;
  ledger.Claim(MakeClaim("a", "k"), kStart);
  ledger.Finish(MakeFinish("a", "k", Outcome::kNotRun), kStart);
  // Claimed again just before the first record would be removed.
  const WallMillis late = kStart + ToMillis(kRetention);
  ledger.Prune(late, kRetention);
  CHECK(ledger.Claim(MakeClaim("b", "k"), late).verdict ==
        ClaimVerdict::kGranted);
  ledger.Finish(MakeFinish("b", "k", Outcome::kRan), late);
  const WallMillis later = late + ToMillis(kRetention) / 2;
  ledger.Prune(later, kRetention);
  CHECK(ledger.Claim(MakeClaim("c", "k"), later).verdict == ClaimVerdict::kRan);
}

TEST_CASE(
    "A key with an issue time is refused once its record may have been "
    "removed") {
  Ledger ledger;
  const std::string key = MakeKeyIssuedAt(kStart);
  CHECK(ledger.Claim(MakeClaim("a", key), kStart).verdict ==
        ClaimVerdict::kGranted);
  ledger.Finish(MakeFinish("a", key, Outcome::kRan), kStart);
  for (WallMillis now = kStart; now < kStart + 10 * ToMillis(kRetention);
       now += 500) {
    ledger.Prune(now, kRetention);
    const ClaimVerdict verdict = ledger.Claim(MakeClaim("b", key), now).verdict;
    const bool safe =
        verdict == ClaimVerdict::kRan || verdict == ClaimVerdict::kKeyExpired;
    REQUIRE(safe);
  }
  // Also if an operator raises the retention afterwards.
  const WallMillis end = kStart + 10 * ToMillis(kRetention);
  ledger.Prune(end, 100 * kRetention);
  CHECK(ledger.Claim(MakeClaim("b", key), end).verdict ==
        ClaimVerdict::kKeyExpired);
}

TEST_CASE("A key issued in the future is refused") {
  Ledger ledger;
  CHECK(
      ledger.Claim(MakeClaim("a", MakeKeyIssuedAt(kStart + 3'600'000)), kStart)
          .verdict == ClaimVerdict::kKeyExpired);
}

}  // namespace jacinth::control

#include "core/control/control_state.h"

#include <algorithm>
#include <set>

#include "core/settings/fleet_settings.h"
#include "core/settings/setting_spec.h"
#include "core/settings/tree_table.h"
#include "core/settings/tree_validation.h"
#include "core/wire/state_codec.h"

namespace jacinth::control {
namespace {

using protocol::BranchChange;
using protocol::ChangeSettings;
using protocol::ClaimRequest;
using protocol::Command;
using protocol::FinishRequest;
using protocol::RecordOwners;

/// Number of change results that are kept to reply to resent changes.
constexpr std::size_t kMaxResults = 4'096;
/// Number of revisions whose changed branches are kept, so that entries are
/// sent only these branches.
constexpr std::size_t kMaxRecentChanges = 256;
/// Number of accepted changes that are kept in the audit trail.
constexpr std::size_t kMaxAuditRecords = 10'000;

std::string BranchList(const ChangeSettings& change) {
  std::string text;
  for (const BranchChange& branch : change.changes) {
    if (!text.empty())
      text += ",";
    text += branch.branch.empty() ? "root" : branch.branch;
  }
  return text;
}

}  // namespace

CommandResult ControlState::Apply(const Command& command) {
  // The clocks of successive leaders differ; the time in the log must not
  // decrease.
  log_time_ = std::max(log_time_, command.wall_ms);
  ledger_.Prune(log_time_, Retention());
  suspects_.Expire(log_time_);
  if (const auto* change = std::get_if<ChangeSettings>(&command.body))
    return ApplyChange(*change, command.wall_ms);
  if (const auto* claim = std::get_if<ClaimRequest>(&command.body))
    return ledger_.Claim(*claim, log_time_);
  if (const auto* owners = std::get_if<RecordOwners>(&command.body)) {
    ApplyOwners(*owners);
    return OwnersRecorded{};
  }
  if (const auto* suspects =
          std::get_if<protocol::RecordSuspects>(&command.body)) {
    suspects_.Apply(*suspects);
    return SuspectsRecorded{};
  }
  ledger_.Finish(std::get<FinishRequest>(command.body), log_time_);
  return FinishOutcome{};
}

std::optional<ChangeOutcome> ControlState::FindResult(
    const ChangeSettings& change) const {
  const auto found =
      results_.find({change.operator_name, change.idempotency_key});
  if (found == results_.end())
    return std::nullopt;
  const protocol::ChangeResult& stored = found->second;
  if (stored.fingerprint != change.fingerprint)
    return ChangeOutcome{false, ErrorKind::kKeyReused, revision_};
  return ChangeOutcome{stored.accepted, ErrorKind::kRevisionConflict,
                       stored.revision};
}

settings::Tree ControlState::Preview(const ChangeSettings& change) const {
  settings::Tree tree = change.replace_all ? settings::Tree() : *tree_;
  for (const BranchChange& branch : change.changes)
    tree.Replace(branch.branch, branch.values);
  return tree;
}

ChangeOutcome ControlState::ApplyChange(const ChangeSettings& change,
                                        WallMillis wall_ms) {
  if (const auto first = FindResult(change))
    return *first;
  ChangeOutcome outcome;
  if (!MeetsPrecondition(change)) {
    outcome = {false, ErrorKind::kRevisionConflict, revision_};
  } else {
    RecordChangedBranches(change);
    tree_ = std::make_shared<const settings::Tree>(Preview(change));
    ++revision_;
    if (change.version_step)
      operator_version_ = change.version_step->next;
    outcome = {true, ErrorKind::kRevisionConflict, revision_};
    audit_.push_back(
        {revision_, wall_ms, change.operator_name, BranchList(change)});
    if (audit_.size() > kMaxAuditRecords)
      audit_.pop_front();
  }
  StoreResult(change, outcome);
  return outcome;
}

std::vector<protocol::SliceOwner> ControlState::SliceOwners() const {
  std::vector<protocol::SliceOwner> owners;
  for (const auto& [key, endpoint] : slice_owners_)
    owners.push_back({key.first, key.second, endpoint});
  return owners;
}

void ControlState::ApplyOwners(const RecordOwners& record) {
  for (const protocol::SliceOwner& owner : record.owners) {
    if (owner.endpoint.empty())
      slice_owners_.erase({owner.service, owner.slice});
    else
      slice_owners_[{owner.service, owner.slice}] = owner.endpoint;
  }
}

bool ControlState::MeetsPrecondition(const ChangeSettings& change) const {
  if (change.version_step) {
    return change.version_step->base == operator_version_ &&
           change.version_step->next > operator_version_;
  }
  return change.any_revision || change.if_revision == revision_;
}

void ControlState::RecordChangedBranches(const ChangeSettings& change) {
  // After a replacement of the whole tree, entries are sent the whole tree.
  if (change.replace_all) {
    recent_changes_.clear();
    return;
  }
  std::vector<std::string> branches;
  for (const BranchChange& branch : change.changes)
    branches.push_back(branch.branch);
  recent_changes_.push_back(std::move(branches));
  if (recent_changes_.size() > kMaxRecentChanges)
    recent_changes_.pop_front();
}

std::optional<std::vector<BranchChange>> ControlState::ChangesSince(
    std::uint64_t revision) const {
  const std::uint64_t revisions_behind = revision_ - revision;
  if (revision > revision_ || revisions_behind > recent_changes_.size())
    return std::nullopt;
  std::set<std::string> names;
  for (std::size_t i = recent_changes_.size() - revisions_behind;
       i < recent_changes_.size(); ++i)
    names.insert(recent_changes_[i].begin(), recent_changes_[i].end());
  std::vector<BranchChange> changes;
  for (const std::string& name : names) {
    const settings::Tree::Values* values = tree_->Find(name);
    changes.push_back(
        {name, values == nullptr ? settings::Tree::Values{} : *values});
  }
  return changes;
}

void ControlState::StoreResult(const ChangeSettings& change,
                               const ChangeOutcome& outcome) {
  const ResultKey key{change.operator_name, change.idempotency_key};
  results_[key] = {change.operator_name, change.idempotency_key,
                   change.fingerprint, outcome.accepted, outcome.revision};
  result_order_.push_back(key);
  if (result_order_.size() <= kMaxResults)
    return;
  results_.erase(result_order_.front());
  result_order_.pop_front();
}

Duration ControlState::Retention() const {
  constexpr std::string_view kKey = "ledger_retention_s";
  const auto set = tree_->FindEffectiveValue("", kKey);
  const std::string_view text =
      set ? std::string_view(set->value)
          : settings::FindTreeSetting(kKey)->default_value;
  return std::chrono::seconds(settings::ParseInteger(text).value_or(0));
}

std::string ControlState::Save() const {
  protocol::ControlSnapshot snapshot;
  snapshot.revision = revision_;
  snapshot.operator_version = operator_version_;
  snapshot.tree_text = tree_->ToIni();
  snapshot.log_time_ms = log_time_;
  snapshot.claims = ledger_.Records();
  snapshot.forgotten_before_ms = ledger_.forgotten_before();
  for (const ResultKey& key : result_order_)
    snapshot.results.push_back(results_.at(key));
  snapshot.slice_owners = SliceOwners();
  for (const auto& [fingerprint, item] : suspects_.items())
    snapshot.suspects.push_back(item.request);
  snapshot.audit.assign(audit_.begin(), audit_.end());
  return wire::EncodeControlSnapshot(snapshot);
}

Result<void> ControlState::Load(const std::string& bytes) {
  SuspectTable suspects = std::move(suspects_);
  *this = ControlState();
  suspects_ = std::move(suspects);
  suspects_.Replace({});
  if (bytes.empty())
    return {};
  auto snapshot = wire::DecodeControlSnapshot(bytes);
  if (!snapshot)
    return tl::unexpected(snapshot.error());
  settings::ParsedTree parsed = settings::ParseTree(snapshot->tree_text);
  if (!parsed.faults.empty()) {
    return Fail(ErrorKind::kCorruptData,
                settings::FormatFaults("stored settings", parsed.faults));
  }
  revision_ = snapshot->revision;
  operator_version_ = snapshot->operator_version;
  tree_ = std::make_shared<const settings::Tree>(std::move(parsed.tree));
  log_time_ = snapshot->log_time_ms;
  ledger_.Restore(std::move(snapshot->claims), snapshot->forgotten_before_ms);
  for (protocol::ChangeResult& result : snapshot->results) {
    const ResultKey key{result.operator_name, result.idempotency_key};
    results_[key] = std::move(result);
    result_order_.push_back(key);
  }
  ApplyOwners({std::move(snapshot->slice_owners)});
  suspects_.Replace(snapshot->suspects);
  audit_.assign(snapshot->audit.begin(), snapshot->audit.end());
  return {};
}

}  // namespace jacinth::control

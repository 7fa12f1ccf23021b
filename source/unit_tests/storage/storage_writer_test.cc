#include "jacinthroute/storage_writer.h"

#include <future>
#include <vector>

#include <catch2/catch.hpp>

#include "unit_tests/support/temporary_folder.h"

namespace jacinth {
namespace {

consensus::WriteRequest MakeWriteRequest(consensus::SyncId id) {
  consensus::WriteRequest request;
  request.id = id;
  request.batch.entries = {{id, 1, protocol::LogEntryKind::kCommand, "entry"}};
  return request;
}

}  // namespace

TEST_CASE("Writes around a snapshot are acknowledged in order and recovered") {
  const test::TemporaryFolder folder;
  std::vector<consensus::SyncId> synced_ids;
  {
    storage::RecoveredLog recovered;
    auto store = storage::LogStore::Open(folder.path(), recovered);
    REQUIRE(store);
    StorageWriter writer(
        std::move(*store),
        [&](consensus::SyncId id) { synced_ids.push_back(id); },
        [](const Error&) { FAIL("a write failed"); });
    for (consensus::SyncId id = 1; id <= 20; ++id)
      writer.Add(MakeWriteRequest(id));
    consensus::WriteRequest snapshot;
    snapshot.id = 21;
    snapshot.snapshot = protocol::Snapshot{18, 1, {}, "state"};
    snapshot.batch.entries = {MakeWriteRequest(19).batch.entries[0],
                              MakeWriteRequest(20).batch.entries[0]};
    writer.Add(std::move(snapshot));
    consensus::WriteRequest last = MakeWriteRequest(21);
    last.id = 22;
    writer.Add(std::move(last));
    writer.Stop();
  }
  CHECK(std::is_sorted(synced_ids.begin(), synced_ids.end()));
  CHECK(synced_ids.back() == 22);
  storage::RecoveredLog recovered;
  REQUIRE(storage::LogStore::Open(folder.path(), recovered));
  CHECK(recovered.snapshot->index == 18);
  CHECK(recovered.entries.size() == 3);
}

}  // namespace jacinth

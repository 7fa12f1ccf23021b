#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <catch2/catch.hpp>
#include <sys/stat.h>

#include "unit_tests/support/child_process.h"
#include "unit_tests/support/port_reservation.h"
#include "unit_tests/support/process_fleet.h"
#include "unit_tests/support/temporary_folder.h"

namespace jacinth {
namespace {

std::string MakeSettingsText(const test::PortReservation& ports) {
  const auto address = [&](int index) {
    return "127.0.0.1:" + std::to_string(ports.ports()[index]) + "\n";
  };
  return "[instance]\nid = e1\nregion = west\nfailure_domain = west-a\n"
         "roles = entry\ncluster_secret_file = secret\n[entry]\naddress = " +
         address(0) + "[replica/c1]\npeer_address = " + address(1) +
         "admin_address = " + address(2);
}

// A settings file that a process reads only as far as it is written.
class SlowFile {
 public:
  explicit SlowFile(const std::filesystem::path& path) : path_(path) {
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  }

  // Writes `text` once the process has opened the file.
  void Write(const std::string& text) {
    REQUIRE(test::ProcessFleet::WaitFor(
        [this] {
          descriptor_ = open(path_.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
          return descriptor_ >= 0;
        },
        test::ProcessFleet::kInForceTarget));
    REQUIRE(write(descriptor_, text.data(), text.size()) ==
            static_cast<ssize_t>(text.size()));
    text_ = text;
  }

  // Lets the process go on, which finds an ordinary file from now on.
  void Finish() {
    std::filesystem::remove(path_);
    std::ofstream(path_) << text_;
    close(descriptor_);
  }

 private:
  std::filesystem::path path_;
  std::string text_;
  int descriptor_ = -1;
};

}  // namespace

// Guards against signals that end an instance because they arrive before it
// handles them.
TEST_CASE("An instance that is signaled while it starts stops with code 0") {
  const auto signals = GENERATE(std::vector{SIGTERM}, std::vector{SIGINT},
                                std::vector{SIGHUP, SIGTERM});
  const test::TemporaryFolder folder;
  std::ofstream(folder.path() / "secret") << "a secret of this test";
  const test::PortReservation ports(3);
  SlowFile settings(folder.path() / "e1.ini");
  test::ChildProcess process(
      JACINTH_BINARY_ROOT "/source/jacinthroute/jacinthroute",
      {"--settings", "e1.ini"}, folder.path().string(), "e1.log");
  settings.Write(MakeSettingsText(ports));
  for (const int signal : signals)
    process.Signal(signal);
  settings.Finish();
  CHECK(process.Wait() == 0);
}

}  // namespace jacinth

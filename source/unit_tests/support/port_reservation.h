#pragma once

#include <vector>

namespace jacinth::test {

/// Reserves ports on the loopback interface. The operating system chooses the
/// ports, and they stay bound so that it does not assign them to another
/// socket. A server that sets SO_REUSEADDR can still listen on them.
class PortReservation {
 public:
  explicit PortReservation(int count);
  ~PortReservation();
  PortReservation(const PortReservation&) = delete;
  PortReservation& operator=(const PortReservation&) = delete;

  const std::vector<int>& ports() const { return ports_; }

 private:
  std::vector<int> sockets_;
  std::vector<int> ports_;
};

}  // namespace jacinth::test

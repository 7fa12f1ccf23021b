#include "unit_tests/support/port_reservation.h"

#include <stdexcept>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace jacinth::test {

PortReservation::PortReservation(int count) {
  for (int i = 0; i < count; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t address_size = sizeof(address);
    auto* generic_address = reinterpret_cast<sockaddr*>(&address);
    if (bind(socket, generic_address, address_size) != 0 ||
        getsockname(socket, generic_address, &address_size) != 0)
      throw std::runtime_error("failed to bind a free port on 127.0.0.1");
    sockets_.push_back(socket);
    ports_.push_back(ntohs(address.sin_port));
  }
}

PortReservation::~PortReservation() {
  for (const int socket : sockets_)
    close(socket);
}

}  // namespace jacinth::test

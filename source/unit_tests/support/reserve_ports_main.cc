#include <cstdlib>
#include <iostream>
#include <unistd.h>

#include "unit_tests/support/port_reservation.h"

// Reserves the given number of ports, prints them and keeps them reserved until
// standard input is closed.
int main(int argc, char** argv) {
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  const jacinth::test::PortReservation reservation(count);
  for (const int port : reservation.ports())
    std::cout << port << "\n";
  std::cout.flush();
  close(STDOUT_FILENO);
  char ignored = 0;
  while (read(STDIN_FILENO, &ignored, 1) > 0) {
  }
  return 0;
}

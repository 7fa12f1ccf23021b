#include <csignal>
#include <iostream>
#include <popt.h>
#include <string>

#include "unit_tests/support/fake_endpoint.h"

namespace {

std::string StringOrEmpty(const char* text) {
  return text == nullptr ? "" : text;
}

}  // namespace

int main(int argc, const char** argv) {
  char* name = nullptr;
  char* address = nullptr;
  char* trace_file = nullptr;
  char* journal_file = nullptr;
  jacinth::test::FakeEndpointOptions options;
  int service_ms = 5;
  int cold_ms = 0;
  const poptOption option_table[] = {
      {"name", 0, POPT_ARG_STRING, &name, 0, "Name in responses", nullptr},
      {"address", 0, POPT_ARG_STRING, &address, 0,
       "Address to listen on, as ip:port", nullptr},
      {"slots", 0, POPT_ARG_INT, &options.slots, 0, "Number of slots", nullptr},
      {"service-ms", 0, POPT_ARG_INT, &service_ms, 0,
       "Service time of a request in ms", nullptr},
      {"cold-ms", 0, POPT_ARG_INT, &cold_ms, 0,
       "Time added to a request during the warm-up in ms", nullptr},
      {"cold-requests", 0, POPT_ARG_INT, &options.cold_requests, 0,
       "Number of requests of the warm-up", nullptr},
      {"trace-file", 0, POPT_ARG_STRING, &trace_file, 0,
       "File to append trace spans to", nullptr},
      {"journal-file", 0, POPT_ARG_STRING, &journal_file, 0,
       "File to append the idempotency keys of executed requests to", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("fake_endpoint", argc, argv, option_table, 0);
  const int parse_result = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parse_result != -1 || address == nullptr) {
    std::cerr << "fake_endpoint: invalid options or missing --address\n";
    return 1;
  }
  options.name = StringOrEmpty(name);
  options.address = address;
  options.trace_file = StringOrEmpty(trace_file);
  options.journal_file = StringOrEmpty(journal_file);
  options.service_time = std::chrono::milliseconds(service_ms);
  options.cold_time = std::chrono::milliseconds(cold_ms);

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  jacinth::test::FakeEndpoint endpoint(options);
  if (auto started = endpoint.Start(); !started) {
    std::cerr << "fake_endpoint: " << started.error().detail << "\n";
    return 1;
  }
  int received_signal = 0;
  sigwait(&signals, &received_signal);
  endpoint.Stop();
  return 0;
}

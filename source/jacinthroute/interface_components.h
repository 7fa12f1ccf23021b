#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "core/metrics/registry.h"
#include "core/net/link_hub.h"
#include "core/settings/instance_settings.h"
#include "core/trace/span_writer.h"
#include "jacinthroute/entry_host.h"
#include "jacinthroute/interface_adapter.h"
#include "jacinthroute/operator_interface.h"

namespace jacinth {

/// Builds the requests for the platform's endpoint list and parses its pages.
struct EndpointListCodec {
  std::function<http::Request(const std::string& failure_domain,
                              const std::string& page_token)>
      make_request;
  std::function<Result<EndpointPage>(const http::Response&)> parse_page;
};

/// The components of an instance that depend on its interface.
struct InterfaceComponents {
  std::function<std::unique_ptr<EntryHost>(asio::io_context&,
                                           const settings::InstanceSettings&,
                                           net::LinkHub&,
                                           metrics::Registry&,
                                           trace::SpanWriter&)>
      make_entry_host;
  /// Not set for the native interface, which uses the built-in administration
  /// API.
  std::function<std::unique_ptr<OperatorInterface>(
      const settings::InstanceSettings&,
      ControlEventSink&)>
      make_operator_interface;
  EndpointListCodec endpoint_list;
};

/// Returns the components of the native interface.
InterfaceComponents MakeNativeComponents();

}  // namespace jacinth

#include "jacinthroute/entry_host_impl.h"
#include "jacinthroute/interface_components.h"
#include "jacinthroute/native_adapter.h"

namespace jacinth {

InterfaceComponents MakeNativeComponents() {
  InterfaceComponents components;
  components.make_entry_host = [](asio::io_context& context,
                                  const settings::InstanceSettings& settings,
                                  net::LinkHub& hub, metrics::Registry& metrics,
                                  trace::SpanWriter& spans) {
    return std::make_unique<EntryHostImpl<NativeAdapter>>(context, settings,
                                                          hub, metrics, spans);
  };
  return components;
}

}  // namespace jacinth

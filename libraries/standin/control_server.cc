#include "standin/control_server.h"

#include <charconv>
#include <utility>

#include "net/address.h"
#include "settings/fault.h"
#include "settings/json.h"
#include "settings/object_reader.h"

namespace wigeonstair::standin {

namespace {

using settings::Value;

base::Result<FaultRequest> DecodeFault(const std::string& body) {
  const Value value = TRY(settings::ParseJson(body, "fault"));
  settings::Faults faults;
  settings::ObjectReader reader(value, "", faults);
  FaultRequest request{.id = reader.Text("id"), .fault = reader.Text("fault")};
  if (const auto duration = reader.OptionalInteger(
          "duration_ms", {.minimum = 0, .maximum = 86'400'000})) {
    request.duration = std::chrono::milliseconds(*duration);
  }
  reader.Finish();
  if (!faults.empty())
    return base::Fail(settings::FaultsError("read fault", "", faults));
  return request;
}

net::HttpResponse Json(const Value& value) {
  return {.status = 200, .headers = {}, .body = settings::EmitJson(value)};
}

net::HttpResponse NotFound(const std::string& path) {
  return net::ErrorResponse(404, {.code = base::ErrorCode::kNotFound,
                                  .step = "find path",
                                  .peer = {},
                                  .detail = path});
}

net::HttpResponse SetFault(const ControlHandlers& handlers,
                           const std::string& body) {
  const auto decoded = base::Capture([&body] { return DecodeFault(body); });
  if (const auto* error = std::get_if<base::Error>(&decoded))
    return net::ErrorResponse(400, *error);
  const auto& request = std::get<FaultRequest>(decoded);
  const auto count = handlers.set_fault(request);
  if (!count) {
    return net::ErrorResponse(
        400, {.code = base::ErrorCode::kInvalidArgument,
              .step = "set fault",
              .peer = {},
              .detail = "unknown fault '" + request.fault + "'"});
  }
  return Json(Value::Mapping().Add("count", Value::Number(*count)));
}

std::int64_t Minimum(const std::string& query) {
  const auto parameters = net::ParseQuery(query);
  const auto found = parameters.find("minimum");
  std::int64_t minimum = 0;
  if (found != parameters.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), minimum);
  }
  return minimum;
}

net::HttpResponse Handle(const ControlHandlers& handlers,
                         const net::HttpRequest& request) {
  if (request.method == "POST" && request.path == "/faults")
    return SetFault(handlers, request.body);
  if (request.method == "GET" && request.path == "/status")
    return Json(handlers.status());
  if (request.method == "GET" && request.path == "/executions" &&
      handlers.executions) {
    return Json(handlers.executions(Minimum(request.query)));
  }
  return NotFound(request.path);
}

}  // namespace

base::Result<std::unique_ptr<net::HttpServer>> StartControlServer(
    const std::string& address,
    ControlHandlers handlers) {
  const net::Address parsed = TRY(net::ParseAddress(address));
  return net::HttpServer::create(
      {.address = parsed,
       .handler = [handlers = std::move(handlers)](
                      const net::HttpRequest& request,
                      const net::HttpResponder& respond) {
         respond(Handle(handlers, request));
       }});
}

}  // namespace wigeonstair::standin

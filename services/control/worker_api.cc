#include "services/control/worker_api.h"

#include <utility>

#include "services/control/json_views.h"
#include "settings/object_reader.h"

namespace wigeonstair::control {

namespace {

net::HttpResponse Failure(int status,
                          base::ErrorCode code,
                          const std::string& worker,
                          std::string detail) {
  return net::ErrorResponse(status, {.code = code,
                                     .step = "serve worker",
                                     .peer = worker,
                                     .detail = std::move(detail)});
}

}  // namespace

WorkerApi::WorkerApi(PlacementController& placement, WorkerApiOptions options)
    : placement_(placement), options_(std::move(options)) {}

void WorkerApi::Handle(const net::HttpRequest& request,
                       std::string_view path,
                       const net::HttpResponder& respond) {
  if (!path.empty())
    path.remove_prefix(1);
  constexpr std::string_view kReport = "/report";
  const bool is_report = path.ends_with(kReport);
  if (is_report)
    path.remove_suffix(kReport.size());
  const std::string worker(path);
  if (!settings::IsId(worker)) {
    return respond(
        Failure(404, base::ErrorCode::kNotFound, {},
                "a worker's id has 1 to 64 letters, digits, '.', '_', '-'"));
  }
  if (is_report && request.method == "POST")
    return Report(worker, request, respond);
  if (!is_report && request.method == "PUT")
    return respond(Register(worker, request));
  respond(Failure(405, base::ErrorCode::kInvalidArgument, worker,
                  "the method is not allowed here"));
}

net::HttpResponse WorkerApi::Register(const std::string& worker,
                                      const net::HttpRequest& request) {
  auto decoded =
      base::Capture([&] { return DecodeRegistration(worker, request.body); });
  if (const auto* error = std::get_if<base::Error>(&decoded))
    return net::ErrorResponse(net::StatusOf(error->code), *error);
  const auto& registration = std::get<WorkerRegistration>(decoded);
  if (registration.domain != options_.domain) {
    return Failure(400, base::ErrorCode::kInvalidArgument, worker,
                   "this host belongs to failure domain " +
                       options_.domain.value() + ", not " +
                       registration.domain.value());
  }
  options_.saw_epoch(registration.epoch);
  const RegisterOutcome outcome =
      placement_.Register(registration, base::MonotonicClock::now());
  if (const auto* registered = std::get_if<Registered>(&outcome)) {
    return net::HttpResponse{
        .status = 200,
        .headers = {{"Content-Type", "application/json"}},
        .body = EncodeRegistrationAnswer(
            registered->epoch, options_.report_interval, registered->schedule)};
  }
  if (std::holds_alternative<StaleIncarnation>(outcome)) {
    return Failure(409, base::ErrorCode::kConflict, worker,
                   "a newer incarnation of this worker is registered");
  }
  return SendElsewhere();
}

void WorkerApi::Report(const std::string& worker,
                       const net::HttpRequest& request,
                       const net::HttpResponder& respond) {
  auto decoded =
      base::Capture([&] { return DecodeReport(worker, request.body); });
  if (const auto* error = std::get_if<base::Error>(&decoded))
    return respond(net::ErrorResponse(net::StatusOf(error->code), *error));
  const auto& report = std::get<WorkerReport>(decoded);
  options_.saw_epoch(report.epoch);
  placement_.Report(report, base::MonotonicClock::now(),
                    [this, worker, respond](const ReportOutcome& outcome) {
                      respond(ResponseTo(worker, outcome));
                    });
}

net::HttpResponse WorkerApi::ResponseTo(const std::string& worker,
                                        const ReportOutcome& outcome) const {
  if (const auto* answer = std::get_if<ReportAnswer>(&outcome)) {
    return net::HttpResponse{.status = 200,
                             .headers = {{"Content-Type", "application/json"}},
                             .body = EncodeReportAnswer(*answer)};
  }
  if (std::holds_alternative<MustRegister>(outcome)) {
    return Failure(404, base::ErrorCode::kNotFound, worker,
                   "the worker is not registered; register first");
  }
  return SendElsewhere();
}

net::HttpResponse WorkerApi::SendElsewhere() const {
  const std::string address = options_.authority_address();
  if (address.empty()) {
    return Failure(503, base::ErrorCode::kUnavailable, {},
                   "no placement authority of failure domain " +
                       options_.domain.value() + " is known; try again");
  }
  settings::Value value = settings::Value::Mapping();
  value.Add("authority", settings::Value::Text(address));
  return JsonResponse(421, value);
}

}  // namespace wigeonstair::control

#include "tools/service_listeners.h"

#include <string>
#include <utility>

#include "net/address.h"

namespace wigeonstair::tools {

namespace {

base::Result<std::unique_ptr<net::HttpServer>> Listen(
    const settings::ProcessSettings& settings,
    const std::string& address,
    const net::HttpHandler& handler) {
  return net::HttpServer::create(
      {.address = TRY(net::ParseAddress(address)),
       .tls = {.certificate = settings.tls_certificate_file,
               .key = settings.tls_key_file},
       .handler = handler,
       .body_limit_bytes =
           static_cast<std::size_t>(settings.limits.http_body_bytes),
       .header_limit_bytes =
           static_cast<std::size_t>(settings.limits.http_header_bytes),
       .receive_timeout = settings.timeouts.http_receive,
       .concurrency_limit =
           static_cast<int>(settings.limits.http_requests_in_progress)});
}

}  // namespace

base::Result<std::unique_ptr<ServiceListeners>> ServiceListeners::create(
    const settings::ProcessSettings& settings,
    const net::HttpHandler& handler,
    std::shared_ptr<base::EventLog> event_log) {
  auto main = TRY(Listen(settings, settings.http, handler));
  std::unique_ptr<net::HttpServer> metrics;
  if (!settings.metrics.empty() && settings.metrics != settings.http)
    metrics = TRY(Listen(settings, settings.metrics, handler));
  return std::unique_ptr<ServiceListeners>(new ServiceListeners(
      std::move(main), std::move(metrics), std::move(event_log)));
}

ServiceListeners::ServiceListeners(std::unique_ptr<net::HttpServer> main,
                                   std::unique_ptr<net::HttpServer> metrics,
                                   std::shared_ptr<base::EventLog> event_log)
    : main_(std::move(main)),
      metrics_(std::move(metrics)),
      event_log_(std::move(event_log)) {}

base::Result<std::monostate> ServiceListeners::Reload() {
  if (metrics_)
    TRY(metrics_->ReloadCertificate());
  return main_->ReloadCertificate();
}

void ServiceListeners::ReloadCertificate() {
  const auto outcome = base::Capture([this] { return Reload(); });
  const auto* error = std::get_if<base::Error>(&outcome);
  event_log_->Write(
      error == nullptr ? base::LogLevel::kInfo : base::LogLevel::kError,
      base::EventNumber::kCertificateReloaded,
      {{"result", error == nullptr ? "loaded" : "kept"},
       {"detail", error == nullptr ? std::string() : error->ToString()}});
}

}  // namespace wigeonstair::tools

#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_LISTENERS_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_LISTENERS_H_

#include <memory>
#include <variant>

#include "base/event_log.h"
#include "base/result.h"
#include "net/http_server.h"
#include "settings/process_settings.h"

namespace wigeonstair::tools {

// The HTTP listeners of a service: the one of its settings' `http` address and,
// when it differs, the one of `metrics`. Both use the same handler and the same
// certificate. Thread-safe.
class ServiceListeners {
 public:
  static base::Result<std::unique_ptr<ServiceListeners>> create(
      const settings::ProcessSettings& settings,
      const net::HttpHandler& handler,
      std::shared_ptr<base::EventLog> event_log);

  net::Address address() const { return main_->address(); }
  int requests_in_progress() const { return main_->requests_in_progress(); }

  // Reads the certificate files again and logs the result. New connections use
  // the new certificate; after an error the old one stays in use. Connections
  // that are open go on.
  void ReloadCertificate();

  // As HttpServer::Drain, for the `http` address. `metrics` stays open, so that
  // a drain can be observed.
  bool Drain(base::Duration timeout) { return main_->Drain(timeout); }

 private:
  ServiceListeners(std::unique_ptr<net::HttpServer> main,
                   std::unique_ptr<net::HttpServer> metrics,
                   std::shared_ptr<base::EventLog> event_log);

  base::Result<std::monostate> Reload();

  std::unique_ptr<net::HttpServer> main_;
  // Null when `metrics` has no address of its own.
  std::unique_ptr<net::HttpServer> metrics_;
  std::shared_ptr<base::EventLog> event_log_;
};

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_SERVICE_LISTENERS_H_

#ifndef WIGEONSTAIR_LIBRARIES_NET_TLS_IDENTITY_H_
#define WIGEONSTAIR_LIBRARIES_NET_TLS_IDENTITY_H_

#include <string>

#include "base/result.h"
#include "net/http_server.h"

namespace wigeonstair::net {

// The contents of a certificate chain and its key, checked to belong together.
struct TlsIdentity {
  std::string certificate_pem;
  std::string key_pem;
};

// Reads and checks both files. Fails with kInputOutput when a file cannot be
// read and with kInvalidArgument when the contents do not fit.
base::Result<TlsIdentity> LoadTlsIdentity(const TlsFiles& files);

}  // namespace wigeonstair::net

#endif  // WIGEONSTAIR_LIBRARIES_NET_TLS_IDENTITY_H_

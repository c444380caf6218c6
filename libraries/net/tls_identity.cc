#include "net/tls_identity.h"

#include <boost/asio/ssl/context.hpp>

#include <fstream>
#include <iterator>

namespace wigeonstair::net {

namespace {

base::Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return base::Fail(base::ErrorCode::kInputOutput, "load certificate", path,
                      "the file cannot be read");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace

base::Result<TlsIdentity> LoadTlsIdentity(const TlsFiles& files) {
  TlsIdentity identity;
  identity.certificate_pem = TRY(ReadFile(files.certificate));
  identity.key_pem = TRY(ReadFile(files.key));
  boost::asio::ssl::context context(boost::asio::ssl::context::tls_server);
  boost::system::error_code error;
  context.use_certificate_chain(boost::asio::buffer(identity.certificate_pem),
                                error);
  if (!error) {
    // OpenSSL refuses a key that does not belong to the certificate.
    context.use_private_key(boost::asio::buffer(identity.key_pem),
                            boost::asio::ssl::context::pem, error);
  }
  if (error) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "load certificate",
                      files.certificate + ", " + files.key, error.message());
  }
  return identity;
}

}  // namespace wigeonstair::net

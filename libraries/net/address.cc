#include "net/address.h"

#include <charconv>

#include "net/loop_object.h"

namespace wigeonstair::net {

base::Result<Address> ParseAddress(std::string_view text) {
  const auto fail = [&](std::string detail) {
    return base::Fail(base::ErrorCode::kInvalidArgument, "parse address",
                      std::string(text), std::move(detail));
  };
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return fail("expected ip:port");
  const std::string ip(text.substr(0, colon));
  boost::system::error_code error;
  boost::asio::ip::make_address_v4(ip, error);
  if (error)
    return fail("'" + ip + "' is not an IPv4 address");
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, code] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code != std::errc() || end != digits.data() + digits.size())
    return fail("'" + std::string(digits) + "' is not a port");
  return Address{.ip = ip, .port = port};
}

}  // namespace wigeonstair::net

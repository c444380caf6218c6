#include "services/entry/json_object.h"

#include <cpprest/json.h>

#include <exception>
#include <utility>

namespace wigeonstair::entry {

namespace {

boost::leaf::error_id InvalidBody(std::string detail) {
  return base::Fail(base::ErrorCode::kInvalidArgument, "read JSON body", {},
                    std::move(detail));
}

}  // namespace

base::Result<JsonObject> JsonObject::create(std::string_view text) {
  // cpprestsdk throws on some malformed inputs even when it is called with an
  // error code.
  try {
    std::error_code error;
    web::json::value value = web::json::value::parse(std::string(text), error);
    if (!error && value.is_object()) {
      return JsonObject(
          std::make_shared<const web::json::value>(std::move(value)));
    }
  } catch (const std::exception&) {
    // Reported below.
  }
  return InvalidBody("the body must be a JSON object");
}

base::Result<std::string> JsonObject::String(const std::string& member) const {
  const web::json::object& object = value_->as_object();
  const auto found = object.find(member);
  if (found == object.end() || !found->second.is_string())
    return InvalidBody("'" + member + "' must be a string");
  return found->second.as_string();
}

base::Result<std::int64_t> JsonObject::Integer(const std::string& member,
                                               std::int64_t minimum,
                                               std::int64_t maximum) const {
  const web::json::object& object = value_->as_object();
  const auto found = object.find(member);
  if (found != object.end() && found->second.is_number() &&
      found->second.as_number().is_int64()) {
    const std::int64_t number = found->second.as_number().to_int64();
    if (number >= minimum && number <= maximum)
      return number;
  }
  return InvalidBody("'" + member + "' must be a whole number from " +
                     std::to_string(minimum) + " to " +
                     std::to_string(maximum));
}

}  // namespace wigeonstair::entry

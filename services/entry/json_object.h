#ifndef WIGEONSTAIR_SERVICES_ENTRY_JSON_OBJECT_H_
#define WIGEONSTAIR_SERVICES_ENTRY_JSON_OBJECT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/result.h"

namespace web::json {
class value;
}

namespace wigeonstair::entry {

// A JSON object with type-checked access to its members. Errors are
// kInvalidArgument and name the member. Keeps cpprestsdk out of the headers.
class JsonObject {
 public:
  static base::Result<JsonObject> create(std::string_view text);

  base::Result<std::string> String(const std::string& member) const;
  base::Result<std::int64_t> Integer(const std::string& member,
                                     std::int64_t minimum,
                                     std::int64_t maximum) const;

 private:
  explicit JsonObject(std::shared_ptr<const web::json::value> value)
      : value_(std::move(value)) {}

  std::shared_ptr<const web::json::value> value_;
};

}  // namespace wigeonstair::entry

#endif  // WIGEONSTAIR_SERVICES_ENTRY_JSON_OBJECT_H_

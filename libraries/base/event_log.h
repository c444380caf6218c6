#ifndef WIGEONSTAIR_LIBRARIES_BASE_EVENT_LOG_H_
#define WIGEONSTAIR_LIBRARIES_BASE_EVENT_LOG_H_

#include <concepts>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/event_number.h"
#include "base/result.h"

namespace wigeonstair::base {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view field_key, std::string field_value)
      : key(field_key), value(std::move(field_value)) {}
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  template <std::integral Number>
  LogField(std::string_view field_key, Number number)
      : key(field_key), value(std::to_string(number)) {}
};

inline constexpr char kStandardOutput[] = "-";

struct EventLogOptions {
  // The process and host, written on each line.
  std::string process;
  std::string host;
  // Lines go to this file; empty means standard error, and kStandardOutput
  // standard output.
  std::string file;
  LogLevel level = LogLevel::kInfo;
  // Two lines a request at 10,000 requests a second fill it in 3 s.
  std::size_t maximum_waiting_lines = 65'536;
};

// Writes numbered events, one line each, such as
//   2026-01-31T02:03:04.567Z info linz-1 entry E1201 route.chosen request=r1
// Values with spaces, quotes or control characters are quoted and escaped.
// Thread-safe. A background thread writes the lines in batches, about 20 ms
// after the first line of a batch, and at once after a warning or failure.
// While `maximum_waiting_lines` wait, further lines are dropped, and a line of
// event E1005 tells how many. The destructor writes what waits.
class EventLog {
 public:
  static Result<std::shared_ptr<EventLog>> create(
      const EventLogOptions& options);
  // A log that discards every line, for tests and benchmarks.
  static std::shared_ptr<EventLog> CreateSilent();

  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(LogLevel level,
             EventNumber number,
             std::initializer_list<LogField> fields);
  void Info(EventNumber number, std::initializer_list<LogField> fields) {
    Write(LogLevel::kInfo, number, fields);
  }
  void Warning(EventNumber number, std::initializer_list<LogField> fields) {
    Write(LogLevel::kWarning, number, fields);
  }
  void Failure(EventNumber number, std::initializer_list<LogField> fields) {
    Write(LogLevel::kError, number, fields);
  }

  // Blocks until every line written so far has reached the file.
  void Flush();

 private:
  struct Implementation;
  explicit EventLog(std::unique_ptr<Implementation> implementation);

  std::unique_ptr<Implementation> implementation_;
};

}  // namespace wigeonstair::base

#endif  // WIGEONSTAIR_LIBRARIES_BASE_EVENT_LOG_H_

#include "base/event_log.h"

#include <spdlog/details/log_msg.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace wigeonstair::base {

namespace {

// Lines are collected for this long before they are written, because waking
// the writer for each line costs more than the line.
constexpr std::chrono::milliseconds kCollectTime(20);
// So many lines are written at once, without waiting longer.
constexpr std::size_t kFullBatch = 1024;

spdlog::level::level_enum SpdlogLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
           return c == ' ' || c == '"' || c == '\\' || c == '=' ||
                  static_cast<unsigned char>(c) < 0x20;
         });
}

// Escapes control characters so that input from callers cannot forge a line.
void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
      line += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x",
                    static_cast<unsigned>(static_cast<unsigned char>(c)));
      line += escaped;
    } else {
      line += c;
    }
  }
  line += '"';
}

}  // namespace

struct EventLog::Implementation {
  struct Line {
    spdlog::log_clock::time_point time;
    spdlog::level::level_enum level = spdlog::level::info;
    std::string text;
  };

  ~Implementation() {
    if (!writer.joinable())
      return;
    {
      const std::lock_guard lock(mutex);
      stopping = true;
    }
    wake.notify_all();
    writer.join();
  }

  std::string LineStart(EventNumber number) const {
    return prefix + std::to_string(static_cast<int>(number)) + " " +
           std::string(EventName(number));
  }

  void Add(Line line) {
    bool notify = false;
    {
      const std::lock_guard lock(mutex);
      if (waiting.size() >= maximum_waiting) {
        ++dropped;
        return;
      }
      urgent = urgent || line.level >= spdlog::level::warn ||
               waiting.size() + 1 >= kFullBatch;
      notify = urgent || waiting.empty();
      waiting.push_back(std::move(line));
      ++added;
    }
    if (notify)
      wake.notify_all();
  }

  // The writer's thread. Returns when stopping and everything is written.
  void Run() {
    std::unique_lock lock(mutex);
    while (true) {
      wake.wait(lock, [this] { return stopping || !waiting.empty(); });
      if (waiting.empty())
        return;
      wake.wait_for(lock, kCollectTime, [this] { return stopping || urgent; });
      std::vector<Line> batch = std::exchange(waiting, {});
      const std::uint64_t missing = std::exchange(dropped, 0);
      const std::uint64_t last = added;
      urgent = false;
      lock.unlock();
      if (missing > 0) {
        batch.push_back({.time = spdlog::log_clock::now(),
                         .level = spdlog::level::warn,
                         .text = LineStart(EventNumber::kLogLinesDropped) +
                                 " count=" + std::to_string(missing)});
      }
      Print(batch);
      lock.lock();
      written = last;
      done.notify_all();
    }
  }

  void Print(const std::vector<Line>& batch) {
    try {
      for (const Line& line : batch)
        sink->log({line.time, {}, "events", line.level, line.text});
      sink->flush();
    } catch (const std::exception& exception) {
      // A full disk must not end the process.
      std::fprintf(stderr, "event log: %s\n", exception.what());
    }
  }

  std::shared_ptr<spdlog::sinks::sink> sink;
  std::string prefix;
  spdlog::level::level_enum level = spdlog::level::info;
  std::size_t maximum_waiting = 0;

  std::mutex mutex;
  std::condition_variable wake;
  std::condition_variable done;
  std::vector<Line> waiting;
  // Lines added, and lines written or failed to be written.
  std::uint64_t added = 0;
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  // The batch is written without collecting more lines.
  bool urgent = false;
  bool stopping = false;
  std::thread writer;
};

Result<std::shared_ptr<EventLog>> EventLog::create(
    const EventLogOptions& options) {
  auto implementation = std::make_unique<Implementation>();
  try {
    if (options.file.empty()) {
      implementation->sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
    } else if (options.file == kStandardOutput) {
      implementation->sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
    } else {
      implementation->sink =
          std::make_shared<spdlog::sinks::basic_file_sink_st>(options.file);
    }
  } catch (const spdlog::spdlog_ex& exception) {
    return Fail(ErrorCode::kInputOutput, "open log file", options.file,
                exception.what());
  }
  implementation->sink->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(
          "%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc));
  implementation->level = SpdlogLevel(options.level);
  implementation->maximum_waiting = options.maximum_waiting_lines;
  implementation->prefix = options.host + " " + options.process + " E";
  implementation->writer =
      std::thread([log = implementation.get()] { log->Run(); });
  return std::shared_ptr<EventLog>(new EventLog(std::move(implementation)));
}

std::shared_ptr<EventLog> EventLog::CreateSilent() {
  return std::shared_ptr<EventLog>(
      new EventLog(std::make_unique<Implementation>()));
}

EventLog::EventLog(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

EventLog::~EventLog() = default;

void EventLog::Write(LogLevel level,
                     EventNumber number,
                     std::initializer_list<LogField> fields) {
  if (!implementation_->sink || SpdlogLevel(level) < implementation_->level)
    return;
  std::string line = implementation_->LineStart(number);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  implementation_->Add({.time = spdlog::log_clock::now(),
                        .level = SpdlogLevel(level),
                        .text = std::move(line)});
}

void EventLog::Flush() {
  Implementation& log = *implementation_;
  if (!log.sink)
    return;
  std::unique_lock lock(log.mutex);
  const std::uint64_t last = log.added;
  log.urgent = true;
  log.wake.notify_all();
  log.done.wait(lock, [&] { return log.written >= last; });
}

}  // namespace wigeonstair::base

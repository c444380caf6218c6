#include "report/benchmark_result.h"

#include <sys/utsname.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iterator>
#include <limits>
#include <optional>
#include <thread>
#include <utility>

#include "settings/json.h"

namespace wigeonstair::report {

namespace {

using settings::Value;

constexpr std::array<std::pair<const char*, PlotKind>, 3> kKinds = {
    {{"lines", PlotKind::kLines},
     {"bars", PlotKind::kBars},
     {"histogram", PlotKind::kHistogram}}};

std::string ProcessorName() {
  std::ifstream file("/proc/cpuinfo");
  std::string line;
  while (std::getline(file, line)) {
    const std::size_t colon = line.find(": ");
    if (line.starts_with("model name") && colon != std::string::npos)
      return line.substr(colon + 2);
  }
  return "unknown processor";
}

std::string MachineNow() {
  utsname system{};
  uname(&system);
  std::array<double, 1> load{};
  getloadavg(load.data(), 1);
  char text[80];
  std::snprintf(text, sizeof(text), ", load average %.1f at the start",
                load[0]);
  return ProcessorName() + ", " +
         std::to_string(std::thread::hardware_concurrency()) + " cores, " +
         system.sysname + " " + system.release + text;
}

std::string DateNow() {
  const std::time_t now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  char text[40];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

Value NumberValue(double number) {
  Value value;
  if (!std::isfinite(number))
    return value;
  char text[40];
  std::snprintf(text, sizeof(text), "%.10g", number);
  value.kind = settings::ValueKind::kLiteral;
  value.scalar = text;
  return value;
}

template <typename Items, typename Convert>
Value ListOf(const Items& items, const Convert& convert) {
  Value list = Value::Sequence();
  for (const auto& item : items)
    list.items.push_back(convert(item));
  return list;
}

Value TextsValue(const std::vector<std::string>& texts) {
  return ListOf(texts, [](const auto& text) { return Value::Text(text); });
}

Value TableValue(const ResultTable& table) {
  return Value::Mapping()
      .Add("title", Value::Text(table.title))
      .Add("columns", TextsValue(table.columns))
      .Add("rows", ListOf(table.rows, TextsValue));
}

Value AxisValue(const Axis& axis) {
  return Value::Mapping()
      .Add("label", Value::Text(axis.label))
      .Add("unit", Value::Text(axis.unit))
      .Add("logarithmic", Value::Boolean(axis.scale == Scale::kLogarithmic));
}

Value SeriesValue(const Series& series) {
  return Value::Mapping()
      .Add("name", Value::Text(series.name))
      .Add("points", ListOf(series.points, [](const Point& point) {
             return ListOf(std::array{point.x, point.y}, NumberValue);
           }));
}

Value PlotValue(const Plot& plot) {
  const auto* const kind =
      std::find_if(kKinds.begin(), kKinds.end(),
                   [&](const auto& each) { return each.second == plot.kind; });
  return Value::Mapping()
      .Add("kind", Value::Text(kind->first))
      .Add("title", Value::Text(plot.title))
      .Add("x", AxisValue(plot.x))
      .Add("y", AxisValue(plot.y))
      .Add("categories", TextsValue(plot.categories))
      .Add("series", ListOf(plot.series, SeriesValue));
}

// Reads a document. After the first fault everything that is read is empty.
class Reader {
 public:
  const Value& Member(const Value& parent, const char* key) {
    const Value* value = parent.Find(key);
    if (value == nullptr)
      Fail(std::string("'") + key + "' is missing");
    return value == nullptr ? empty_ : *value;
  }

  std::string Text(const Value& value) {
    if (value.kind != settings::ValueKind::kText)
      Fail("a text is expected");
    return value.scalar;
  }
  std::string Text(const Value& parent, const char* key) {
    return Text(Member(parent, key));
  }

  double Number(const Value& value) {
    if (value.is_null())
      return std::numeric_limits<double>::quiet_NaN();
    double number = 0;
    const char* end = value.scalar.data() + value.scalar.size();
    const auto read = std::from_chars(value.scalar.data(), end, number);
    if (value.kind != settings::ValueKind::kLiteral || read.ec != std::errc() ||
        read.ptr != end) {
      Fail("a number is expected");
    }
    return number;
  }

  template <typename Convert>
  auto List(const Value& value, const Convert& convert) {
    std::vector<decltype(convert(value))> list;
    if (!value.is_sequence())
      Fail("a list is expected");
    for (const Value& item : value.items)
      list.push_back(convert(item));
    return list;
  }
  std::vector<std::string> Texts(const Value& value) {
    return List(value, [this](const Value& item) { return Text(item); });
  }

  ResultTable Table(const Value& value) {
    return {.title = Text(value, "title"),
            .columns = Texts(Member(value, "columns")),
            .rows = List(Member(value, "rows"),
                         [this](const Value& row) { return Texts(row); })};
  }

  report::Axis Axis(const Value& value) {
    const bool logarithmic = Member(value, "logarithmic").scalar == "true";
    return {.label = Text(value, "label"),
            .unit = Text(value, "unit"),
            .scale = logarithmic ? Scale::kLogarithmic : Scale::kLinear};
  }

  report::Point Point(const Value& value) {
    if (!value.is_sequence() || value.items.size() != 2) {
      Fail("a point is expected");
      return {};
    }
    return {.x = Number(value.items[0]), .y = Number(value.items[1])};
  }

  report::Series Series(const Value& value) {
    return {.name = Text(value, "name"),
            .points = List(Member(value, "points"),
                           [this](const Value& item) { return Point(item); })};
  }

  report::Plot Plot(const Value& value) {
    report::Plot plot;
    const std::string name = Text(value, "kind");
    const auto* const kind =
        std::find_if(kKinds.begin(), kKinds.end(),
                     [&](const auto& each) { return name == each.first; });
    if (kind == kKinds.end())
      Fail("unknown kind of plot '" + name + "'");
    else
      plot.kind = kind->second;
    plot.title = Text(value, "title");
    plot.x = Axis(Member(value, "x"));
    plot.y = Axis(Member(value, "y"));
    plot.categories = Texts(Member(value, "categories"));
    plot.series = List(Member(value, "series"),
                       [this](const Value& item) { return Series(item); });
    return plot;
  }

  const std::optional<std::string>& fault() const { return fault_; }

 private:
  void Fail(std::string fault) {
    if (!fault_)
      fault_ = std::move(fault);
  }

  Value empty_;
  std::optional<std::string> fault_;
};

}  // namespace

BenchmarkResult DescribeRun(std::string title,
                            int argument_count,
                            char** arguments) {
  BenchmarkResult result{
      .title = std::move(title), .machine = MachineNow(), .date = DateNow()};
  for (int i = 0; i < argument_count; ++i)
    result.command += (i == 0 ? "" : " ") + std::string(arguments[i]);
  return result;
}

std::string TakeDataFlag(int& argument_count, char** arguments) {
  for (int i = 1; i + 1 < argument_count; ++i) {
    if (std::strcmp(arguments[i], "--data") != 0)
      continue;
    std::string file = arguments[i + 1];
    std::copy(arguments + i + 2, arguments + argument_count + 1, arguments + i);
    argument_count -= 2;
    return file;
  }
  return {};
}

std::string ToJson(const BenchmarkResult& result) {
  return settings::EmitJson(
             Value::Mapping()
                 .Add("title", Value::Text(result.title))
                 .Add("command", Value::Text(result.command))
                 .Add("machine", Value::Text(result.machine))
                 .Add("date", Value::Text(result.date))
                 .Add("tables", ListOf(result.tables, TableValue))
                 .Add("plots", ListOf(result.plots, PlotValue))) +
         "\n";
}

base::Result<BenchmarkResult> FromJson(const std::string& json,
                                       const std::string& source) {
  const Value value = TRY(settings::ParseJson(json, source));
  Reader reader;
  BenchmarkResult result{
      .title = reader.Text(value, "title"),
      .command = reader.Text(value, "command"),
      .machine = reader.Text(value, "machine"),
      .date = reader.Text(value, "date"),
      .tables =
          reader.List(reader.Member(value, "tables"),
                      [&](const Value& item) { return reader.Table(item); }),
      .plots =
          reader.List(reader.Member(value, "plots"),
                      [&](const Value& item) { return reader.Plot(item); })};
  if (reader.fault()) {
    return base::Fail(base::ErrorCode::kInvalidArgument,
                      "read benchmark result", source, *reader.fault());
  }
  return result;
}

base::Result<std::monostate> WriteTextFile(const std::string& file,
                                           const std::string& text) {
  std::ofstream output(file, std::ios::binary | std::ios::trunc);
  output << text;
  output.close();
  if (!output) {
    return base::Fail(base::ErrorCode::kInputOutput, "write file", file,
                      std::strerror(errno));
  }
  return std::monostate();
}

bool StoreResult(const std::string& file, const BenchmarkResult& result) {
  if (file.empty())
    return true;
  const auto outcome =
      base::Capture([&] { return WriteTextFile(file, ToJson(result)); });
  const auto* error = std::get_if<base::Error>(&outcome);
  if (error != nullptr)
    std::fprintf(stderr, "%s\n", error->ToString().c_str());
  return error == nullptr;
}

}  // namespace wigeonstair::report

#include "report/html_report.h"

#include "report/escape.h"
#include "report/svg_plot.h"

namespace wigeonstair::report {

namespace {

constexpr const char* kHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>wigeonstair benchmarks</title>
<style>
body { font: 15px sans-serif; color: #222; background: #fff; margin: 2em auto;
  max-width: 1100px; padding: 0 1em; }
table { border-collapse: collapse; font-size: 13px; margin: 1em 0; }
th, td { border-bottom: 1px solid #ddd; padding: 3px 10px; text-align: left; }
svg { display: block; width: 100%; max-width: 720px; margin: 1.5em 0; }
svg text { font: 12px sans-serif; fill: #222; }
svg text.title { font-weight: bold; font-size: 14px; }
svg .grid { stroke: #e4e4e4; }
svg .axis { stroke: #444; }
svg .series { fill: none; stroke-width: 1.8; }
dt { font-weight: bold; }
</style>
</head>
<body>
<h1>wigeonstair benchmarks</h1>
)";

std::string Element(const std::string& tag, const std::string& text) {
  return "<" + tag + ">" + Escape(text) + "</" + tag + ">";
}

std::string RenderTable(const ResultTable& table) {
  std::string html = Element("h3", table.title) + "\n<table>\n<tr>";
  for (const std::string& column : table.columns)
    html += Element("th", column);
  html += "</tr>\n";
  for (const auto& row : table.rows) {
    html += "<tr>";
    for (const std::string& cell : row)
      html += Element("td", cell);
    html += "</tr>\n";
  }
  html += "</table>\n";
  return table.rows.empty() ? html + "<p>no data</p>\n" : html;
}

std::string RenderResult(const BenchmarkResult& result) {
  std::string html =
      Element("h2", result.title) + "\n<dl>" + Element("dt", "Command") +
      "<dd>" + Element("code", result.command) + "</dd>" +
      Element("dt", "Machine") + Element("dd", result.machine) +
      Element("dt", "Date") + Element("dd", result.date) + "</dl>\n";
  for (const Plot& plot : result.plots)
    html += RenderSvg(plot);
  for (const ResultTable& table : result.tables)
    html += RenderTable(table);
  return html;
}

}  // namespace

std::string RenderHtml(const std::vector<BenchmarkResult>& results) {
  std::string html = kHead;
  if (results.empty())
    html += "<p>no data</p>\n";
  for (const BenchmarkResult& result : results)
    html += RenderResult(result);
  return html + "</body>\n</html>\n";
}

}  // namespace wigeonstair::report

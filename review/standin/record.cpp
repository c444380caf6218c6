#include "record.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace review {

namespace {

std::string record_path;
int record_file = -1;
std::chrono::steady_clock::time_point began;

}  // namespace

void OpenRecord(const std::string& path) {
  record_path = path;
  record_file = open(path.c_str(),
                     O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0644);
  began = std::chrono::steady_clock::now();
}

double Seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - began)
      .count();
}

void Record(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
  const std::string text = time + line + "\n";
  if (write(record_file, text.data(), text.size()) < 0)
    std::perror("write the record");
}

std::vector<RecordedLine> ReadRecord() {
  std::vector<RecordedLine> lines;
  std::ifstream file(record_path);
  for (std::string text; std::getline(file, text);) {
    std::istringstream words(text);
    RecordedLine line;
    words >> line.at;
    for (std::string word; words >> word;)
      line.words.push_back(word);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace review

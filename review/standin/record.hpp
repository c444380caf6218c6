// The record of a case: one line for each thing that was sent, answered or run.
#ifndef WIGEONSTAIR_REVIEW_STANDIN_RECORD_HPP_
#define WIGEONSTAIR_REVIEW_STANDIN_RECORD_HPP_

#include <string>
#include <vector>

namespace review {

// Empties the file. Times of the record count from now.
void OpenRecord(const std::string& path);
// Seconds since OpenRecord. The same in all processes forked afterwards.
double Seconds();
// Appends a line with the time before it. Safe in all processes and threads.
void Record(const std::string& line);

struct RecordedLine {
  double at = 0;
  std::vector<std::string> words;
};
std::vector<RecordedLine> ReadRecord();

}  // namespace review

#endif  // WIGEONSTAIR_REVIEW_STANDIN_RECORD_HPP_

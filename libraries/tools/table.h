#ifndef WIGEONSTAIR_LIBRARIES_TOOLS_TABLE_H_
#define WIGEONSTAIR_LIBRARIES_TOOLS_TABLE_H_

#include <string>
#include <vector>

namespace wigeonstair::tools {

// A table of texts for people, with columns aligned to the left.
class Table {
 public:
  explicit Table(std::vector<std::string> headings);

  // A row with fewer cells than headings is filled up with "-".
  void Add(std::vector<std::string> row);
  bool empty() const { return rows_.empty(); }
  std::string ToString() const;

 private:
  std::vector<std::string> headings_;
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace wigeonstair::tools

#endif  // WIGEONSTAIR_LIBRARIES_TOOLS_TABLE_H_

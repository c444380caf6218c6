#include "records/text_pool.h"

namespace wigeonstair::records {

const std::string& TextPool::Reference::value() const {
  static const std::string kEmpty;
  return text_ == nullptr ? kEmpty : text_->first;
}

TextPool::Reference TextPool::Share(const std::string& text) {
  if (text.empty())
    return {};
  const auto entry = texts_.try_emplace(text, Uses{.pool = this}).first;
  return Reference(*entry);
}

}  // namespace wigeonstair::records

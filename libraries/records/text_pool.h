#ifndef WIGEONSTAIR_LIBRARIES_RECORDS_TEXT_POOL_H_
#define WIGEONSTAIR_LIBRARIES_RECORDS_TEXT_POOL_H_

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>

namespace wigeonstair::records {

// Holds equal texts once. A text leaves the pool with its last reference, so
// the pool is bounded by what refers to it. Outlives its references. Not
// thread-safe.
class TextPool {
  struct Uses;
  using Texts = std::unordered_map<std::string, Uses>;
  struct Uses {
    TextPool* pool = nullptr;
    std::size_t count = 0;
  };

 public:
  // A reference to a text; the empty text without one.
  class Reference {
   public:
    Reference() = default;
    Reference(Reference&& other) noexcept
        : text_(std::exchange(other.text_, nullptr)) {}
    Reference& operator=(Reference&& other) noexcept {
      std::swap(text_, other.text_);
      return *this;
    }
    ~Reference() {
      if (text_ != nullptr && --text_->second.count == 0)
        text_->second.pool->Drop(text_->first);
    }

    const std::string& value() const;

   private:
    friend class TextPool;
    explicit Reference(Texts::value_type& text) : text_(&text) {
      ++text.second.count;
    }

    Texts::value_type* text_ = nullptr;
  };

  TextPool() = default;
  // References point to it.
  TextPool(const TextPool&) = delete;
  TextPool& operator=(const TextPool&) = delete;

  Reference Share(const std::string& text);
  std::size_t size() const { return texts_.size(); }

 private:
  // By iterator, because `text` itself goes with its entry.
  void Drop(const std::string& text) { texts_.erase(texts_.find(text)); }

  Texts texts_;
};

}  // namespace wigeonstair::records

#endif  // WIGEONSTAIR_LIBRARIES_RECORDS_TEXT_POOL_H_

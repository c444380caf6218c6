#include "report/escape.h"

namespace wigeonstair::report {

std::string Escape(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default: {
        const bool is_control = static_cast<unsigned char>(character) < 0x20 &&
                                character != '\t' && character != '\n';
        escaped += is_control ? '?' : character;
      }
    }
  }
  return escaped;
}

}  // namespace wigeonstair::report

#ifndef WIGEONSTAIR_LIBRARIES_SETTINGS_YAML_H_
#define WIGEONSTAIR_LIBRARIES_SETTINGS_YAML_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "settings/value.h"

namespace wigeonstair::settings {

// Parses one YAML document. `source` names it in errors. Fails with
// kInvalidArgument and the line on a syntax error, a duplicate key, an anchor,
// an alias, a tag, a second document, or a document beyond the bounds of
// value.h.
base::Result<Value> ParseYaml(std::string_view text, const std::string& source);

// The document as YAML in block style, ending with a newline.
std::string EmitYaml(const Value& value);

// Reads a file of at most kDocumentLimitBytes. Fails with kNotFound,
// kInputOutput or kResourceLimit.
base::Result<std::string> ReadTextFile(const std::string& path);

}  // namespace wigeonstair::settings

#endif  // WIGEONSTAIR_LIBRARIES_SETTINGS_YAML_H_

#pragma once

#include "files/checked_json.h"
#include "version/service_definition.h"

#include <string>
#include <string_view>

namespace endiverail {

/// A service's file, read and checked.
struct service_file {
  service_definition Definition;
  /// The same content whatever the blanks and the order of fields.
  std::string Content;
  std::string ContentHash;
};

/// Reads a service's file. Fails with BadFile; the detail has a line for each
/// mistake, with \p FileName and the place in it.
result<service_file> readServiceFile(std::string_view FileName,
                                     std::string_view Text);

} // namespace endiverail

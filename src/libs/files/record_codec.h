#pragma once

#include "process/control_message.h"

#include <string>
#include <string_view>

namespace endiverail {

/// A record as it stands on the log: one JSON text.
std::string encodeRecord(const log_record &Record);

/// Reads a record. Fails with BadRecord, or with BadFile when a file within it
/// is not valid.
result<log_record> decodeRecord(std::string_view Text);

} // namespace endiverail

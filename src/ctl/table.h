/// @file
/// Plain text tables.
#pragma once

#include <string>
#include <vector>

namespace stoathold {

/// Formats a header and rows with aligned columns; the text ends with a line break.
std::string format_table(const std::vector<std::string>& header,
                         const std::vector<std::vector<std::string>>& rows);

}  // namespace stoathold

/// @file
/// Parsing and classification of header fields. Names are compared case-insensitively.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "gateway/header_dialect.h"
#include "net/http.h"
#include "routing/runner_registry.h"

namespace stoathold {

/// Returns whether a header is hop-by-hop and must not be forwarded.
bool is_connection_header(std::string_view name);
/// Returns whether a caller's header is not forwarded to runners, because it is hop-by-hop or only
/// the gateway may set it.
bool is_stripped_header(const HeaderDialect& dialect, std::string_view name);
/// Returns whether the value of a `Connection` header lists this header as hop-by-hop.
bool names_header(std::string_view connection, std::string_view name);
/// Parses a load report `running,waiting,slots[,slowness]`. The slowness is the current duration of
/// work at the runner in percent of the usual one. An invalid slowness is marked as such and
/// ignored; the other numbers remain valid.
/// @return `nullopt` if one of the first three numbers is malformed.
std::optional<LoadReport> parse_load(std::string_view text);

}  // namespace stoathold

/// @file
/// Reading of header fields. Names are compared without regard to case.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "gateway/header_dialect.h"
#include "net/http.h"
#include "routing/runner_registry.h"

namespace stoathold {

/// Whether a header concerns one connection only and is not passed on.
bool is_connection_header(std::string_view name);
/// Whether a header that a caller sent is kept from runners: it concerns one connection only, or
/// the gateway says it itself.
bool is_kept_from_runners(const HeaderDialect& dialect, std::string_view name);
/// Whether a `Connection` header's value names this header as one of its own.
bool names_header(std::string_view connection, std::string_view name);
/// Reads `running,waiting,slots` and, if there is a fourth figure, the time that work takes there
/// at this moment, in 100ths of the usual. A fourth figure that is no slowness that can be is left
/// out: what the others say holds.
/// @return nothing if the first three are malformed.
std::optional<LoadReport> parse_load(std::string_view text);

}  // namespace stoathold

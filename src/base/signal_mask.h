/// @file
/// Blocks signals before the event loop handles them and after it has ended, so that they stay
/// pending.
#pragma once

#include <initializer_list>

namespace stoathold {

/// Blocks the signals that stop a process or make it reload its settings. Called first in `main`,
/// since threads inherit the signal mask, and again when the event loop has ended. Also blocks
/// SIGPIPE, so that a write to a pipe without a reader fails instead of ending the process.
void block_signals();

/// Unblocks signals so that the installed handlers receive them, even if the parent process had
/// blocked them. Called on the thread that runs the event loop.
void unblock_signals(std::initializer_list<int> signals);

}  // namespace stoathold

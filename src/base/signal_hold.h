/// @file
/// Signals that reach a process before its loop heeds them, or after it has ended, wait.
#pragma once

#include <initializer_list>

namespace stoathold {

/// Holds the signals by which a process is stopped and told to read its settings again. Called
/// first in `main`, since threads inherit what is held, and once more when the loop has ended. A
/// write to a pipe whose reader has gone ends the process neither: it fails.
void hold_signals();

/// Lets those signals through to the handlers that are installed by now. Also what the process'
/// starter has held. Called on the thread that runs the loop.
void heed_signals(std::initializer_list<int> signals);

}  // namespace stoathold

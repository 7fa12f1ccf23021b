#pragma once

#include <array>
#include <csignal>

namespace jacinth {

/// Signals that an instance handles: the first two stop it, the last one makes
/// it reload its settings.
inline constexpr std::array kHandledSignals = {SIGTERM, SIGINT, SIGHUP};

/// Keeps these signals pending in the calling thread and in the threads that it
/// starts.
void BlockHandledSignals();

/// Delivers the pending signals, and later ones, to the calling thread.
void UnblockHandledSignals();

}  // namespace jacinth

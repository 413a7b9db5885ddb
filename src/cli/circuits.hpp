// `nettlestall circuits`: speaks to a gatekeeper's operators' address, as curl would.
#pragma once

#include <string>

namespace nettlestall::cli {

// Exit codes of the command line.
enum Exit : int { kDone = 0, kFailed = 1, kUsage = 2, kRefused = 3, kUnreachable = 4 };

// Prints the reply's body: on standard output if it was carried out, else on standard error. `at` is
// address:port.
int call_operators(const std::string& at, const std::string& method, const std::string& target);

}  // namespace nettlestall::cli

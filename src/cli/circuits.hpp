// `nettlestall circuits`: speaks to a gatekeeper's operators' address, as curl would.
#pragma once

#include <string>

namespace nettlestall::cli {

// Exit codes of the command line.
enum ExitCode : int { kSuccess = 0, kFailure = 1, kUsageError = 2, kRefused = 3, kUnreachable = 4 };

// Prints the reply's body: on standard output if it was carried out, else on standard error. `at` is
// address:port.
int send_operators_request(const std::string& at, const std::string& method, const std::string& target);

}  // namespace nettlestall::cli

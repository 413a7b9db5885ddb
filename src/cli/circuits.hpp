// The command `nettlestall circuits`: sends HTTP requests to a gatekeeper's operators' address.
#pragma once

#include <string>

namespace nettlestall::cli {

// Exit codes of the command line, in this order: success; the program cannot start or a file is invalid; the
// command line is invalid; the gatekeeper refused the request; the gatekeeper gave no valid reply.
enum ExitCode : int { kSuccess = 0, kFailure = 1, kUsageError = 2, kRefused = 3, kUnreachable = 4 };

// Sends a request without a body to the operators' address `address` (numeric address:port) and prints the
// body of the reply, on standard output if its status is 200, otherwise on standard error. Returns an
// ExitCode.
int send_operators_request(const std::string& address, const std::string& method, const std::string& target);

}  // namespace nettlestall::cli

// The gatekeeper process: joins all parts, handles signals, reloads the configuration and shuts down.
#pragma once

#include <string>

namespace nettlestall {

struct ServeOptions {
    std::string operator_file;  // empty: none
};

// Serves until SIGTERM or SIGINT and returns the exit code. Configuration comes from the environment and, if
// one is named, the operator's file. Throws json::BadInput or boost::system::system_error if it cannot start.
int serve(const ServeOptions& options);

}  // namespace nettlestall

#include "gatekeeper_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace nettlestall::soak {

GatekeeperProcess::~GatekeeperProcess() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

void GatekeeperProcess::write_config(const std::string& text) const {
    std::ofstream(folder_ + "/" + name_ + ".json") << text;
}

void GatekeeperProcess::start() {
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("BALANCER_CONFIG", (folder_ + "/" + name_ + ".json").c_str(), 1);
    setenv("BALANCER_NAME", name_.c_str(), 1);
    for (const char* const unused : {"BALANCER_LISTEN", "BALANCER_OPERATOR", "TMPDIR"}) unsetenv(unused);
    dup2(open(log_path().c_str(), O_CREAT | O_APPEND | O_WRONLY, 0600), 2);
    // The sockets of the stand-ins have to be closed when the stand-ins close them.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(127);
}

void GatekeeperProcess::signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
}

bool GatekeeperProcess::has_ended() {
    if (pid_ <= 0 || waitpid(pid_, &status_, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
}

}  // namespace nettlestall::soak

// A gatekeeper as a child process: started, told to reload, told to end, killed, and started again.
#pragma once

#include <sys/types.h>

#include <string>

#include "world.hpp"

namespace nettlestall::soak {

class GatekeeperProcess {
   public:
    GatekeeperProcess(std::string program, std::string name, std::string folder)
        : program_(std::move(program)), name_(std::move(name)), folder_(std::move(folder)) {}
    ~GatekeeperProcess();
    GatekeeperProcess(const GatekeeperProcess&) = delete;

    void write_config(const std::string& text) const;
    void start();
    void signal(int number) const;
    bool is_running() const { return pid_ > 0; }
    // Notices that the process has ended. True if it just has; then status() is that of waitpid().
    bool has_ended();
    int status() const { return status_; }
    std::string log_path() const { return folder_ + "/" + name_ + ".log"; }

   private:
    std::string program_, name_, folder_;
    pid_t pid_ = -1;
    int status_ = 0;
};

}  // namespace nettlestall::soak

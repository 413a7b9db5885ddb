// The program's log, on standard error: lines of text for a terminal, or JSON objects, one a line. A line
// that is about a call carries the call's id. Nothing is written while it is below the level.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace nettlestall::log {

enum class Level { debug, info, warning, error };
Level parse_level(std::string_view name);  // one that is not known counts as info

class Log {
   public:
    Log();
    ~Log();

    void configure(bool json, Level level);
    bool is_enabled(Level level) const;

    void write(Level level, std::string_view text, std::string_view call = {});
    void debug(std::string_view text, std::string_view call = {}) { write(Level::debug, text, call); }
    void info(std::string_view text, std::string_view call = {}) { write(Level::info, text, call); }
    void warning(std::string_view text, std::string_view call = {}) { write(Level::warning, text, call); }
    void error(std::string_view text, std::string_view call = {}) { write(Level::error, text, call); }

   private:
    std::unique_ptr<spdlog::logger> logger_;
    bool json_ = false;
};

// One line, without its end, as it is written with `json`: for tests too. `time` is UTC, as in RFC 3339.
std::string format_json(std::string_view time, Level level, std::string_view text, std::string_view call);

}  // namespace nettlestall::log

// The program's log, on standard error: lines of text for a terminal, or one JSON object per line. A message
// about a call carries the call's id. Messages below the configured level are dropped.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace nettlestall::log {

// How important a message is, in ascending order.
enum class Level { debug, info, warning, error };

// Returns the level with that name; Level::info if there is none.
Level parse_level(std::string_view name);

// Writes lines of text from Level::info on until it is configured otherwise. Only one thread may use it.
class Log {
   public:
    Log();
    ~Log();

    // Sets the format (JSON or text) and the lowest level that is written.
    void configure(bool json, Level level);
    // True if messages of that level are written.
    bool is_enabled(Level level) const;

    // Each writes one line; `call` is the id of the call that the message is about, or empty. Bytes other
    // than printable ASCII are escaped as \xNN.
    void write(Level level, std::string_view text, std::string_view call = {});
    void debug(std::string_view text, std::string_view call = {}) { write(Level::debug, text, call); }
    void info(std::string_view text, std::string_view call = {}) { write(Level::info, text, call); }
    void warning(std::string_view text, std::string_view call = {}) { write(Level::warning, text, call); }
    void error(std::string_view text, std::string_view call = {}) { write(Level::error, text, call); }

   private:
    std::unique_ptr<spdlog::logger> logger_;
    bool json_ = false;
};

// Returns a message in the JSON format, without the line end. `time` is UTC in the format of RFC 3339. Public
// for tests.
std::string format_json(std::string_view time, Level level, std::string_view text, std::string_view call);

}  // namespace nettlestall::log

#include "log/log.hpp"

#include <rapidjson/encodings.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <ctime>

namespace nettlestall::log {
namespace {

constexpr std::string_view kNames[] = {"debug", "info", "warning", "error"};
constexpr spdlog::level::level_enum kLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                 spdlog::level::warn, spdlog::level::err};

std::string now() {
    const auto time = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, millis);
}

// Whatever peers put into a text: a line stays one line, and JSON stays JSON.
std::string printable(std::string_view text) {
    std::string clean;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        byte < 0x20 || byte >= 0x7f ? clean += fmt::format("\\x{:02x}", byte) : clean += c;
    }
    return clean;
}

}  // namespace

Level parse_level(std::string_view name) {
    for (std::size_t i = 0; i < std::size(kNames); ++i)
        if (kNames[i] == name) return static_cast<Level>(i);
    return Level::info;
}

std::string format_json(std::string_view time, Level level, std::string_view text, std::string_view call) {
    rapidjson::StringBuffer line;
    rapidjson::Writer<rapidjson::StringBuffer> out(line);
    const auto field = [&out](const char* name, std::string_view value) {
        out.Key(name);
        out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    out.StartObject();
    field("time", time), field("level", kNames[static_cast<std::size_t>(level)]);
    if (!call.empty()) field("call", printable(call));
    field("text", printable(text));
    out.EndObject();
    return line.GetString();
}

Log::Log()
    : logger_(std::make_unique<spdlog::logger>("", std::make_shared<spdlog::sinks::stderr_sink_st>())) {
    logger_->set_pattern("%v");
    configure(false, Level::info);
}

Log::~Log() = default;

void Log::configure(bool json, Level level) {
    json_ = json;
    logger_->set_level(kLevels[static_cast<std::size_t>(level)]);
}

bool Log::is_enabled(Level level) const {
    return logger_->should_log(kLevels[static_cast<std::size_t>(level)]);
}

void Log::write(Level level, std::string_view text, std::string_view call) {
    if (!is_enabled(level)) return;
    const auto at = kLevels[static_cast<std::size_t>(level)];
    if (json_) return logger_->log(at, format_json(now(), level, text, call));
    const std::string about = call.empty() ? std::string() : " call=" + printable(call);
    logger_->log(at, fmt::format("{} {} {}{}", now(), kNames[static_cast<std::size_t>(level)],
                                 printable(text), about));
}

}  // namespace nettlestall::log

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

// Both are indexed by Level.
constexpr std::string_view kLevelNames[] = {"debug", "info", "warning", "error"};
constexpr spdlog::level::level_enum kSpdlogLevels[] = {spdlog::level::debug, spdlog::level::info,
                                                       spdlog::level::warn, spdlog::level::err};

// The time of day in UTC, in the format of RFC 3339 with milliseconds.
std::string current_timestamp() {
    const auto time = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, millis);
}

// Escapes all bytes but printable ASCII, because texts may hold what peers have sent: a text line must stay
// one line, and JSON must stay valid.
std::string escape(std::string_view text) {
    std::string escaped;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        byte < 0x20 || byte >= 0x7f ? escaped += fmt::format("\\x{:02x}", byte) : escaped += c;
    }
    return escaped;
}

}  // namespace

Level parse_level(std::string_view name) {
    for (std::size_t i = 0; i < std::size(kLevelNames); ++i)
        if (kLevelNames[i] == name) return static_cast<Level>(i);
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
    field("time", time), field("level", kLevelNames[static_cast<std::size_t>(level)]);
    if (!call.empty()) field("call", escape(call));
    field("text", escape(text));
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
    logger_->set_level(kSpdlogLevels[static_cast<std::size_t>(level)]);
}

bool Log::is_enabled(Level level) const {
    return logger_->should_log(kSpdlogLevels[static_cast<std::size_t>(level)]);
}

void Log::write(Level level, std::string_view text, std::string_view call) {
    if (!is_enabled(level)) return;
    const auto spdlog_level = kSpdlogLevels[static_cast<std::size_t>(level)];
    if (json_) return logger_->log(spdlog_level, format_json(current_timestamp(), level, text, call));
    const std::string call_field = call.empty() ? std::string() : " call=" + escape(call);
    logger_->log(spdlog_level,
                 fmt::format("{} {} {}{}", current_timestamp(), kLevelNames[static_cast<std::size_t>(level)],
                             escape(text), call_field));
}

}  // namespace nettlestall::log

#include "protocol/feed.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstring>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kReadBytes = 16 * 1024;  // buffer space for each read

// Throws json::BadInput, as read_entry() does.
ExchangeState read_state(const std::string& state) {
    if (state == "active") return ExchangeState::ready;
    if (state == "leaving") return ExchangeState::draining;
    if (state == "left") return ExchangeState::gone;
    json::throw_bad_input("unknown 'state' '" + state + "'");
}

ListedExchange read_entry(const json::Value& server) {
    if (!server.IsObject()) json::throw_bad_input("'servers' must hold objects");
    ListedExchange listed;
    ExchangeEntry& entry = listed.entry;
    entry.exchange = json::get_required<std::string>(server, "id");
    entry.state = read_state(json::get_required<std::string>(server, "state"));
    entry.number = json::get_or(server, "cell", kNoExchange);
    entry.zone = json::get_or<std::string>(server, "zone", "");
    entry.kind = json::get_or<std::string>(server, "kind", "");
    entry.size = json::get_or(server, "weight", 1.0);
    entry.started = std::chrono::milliseconds(json::get_or<std::int64_t>(server, "started_ms", 0));
    listed.address = json::get_or<std::string>(server, "addr", "");
    if (listed.address.empty() && entry.state != ExchangeState::gone) json::throw_missing_key("addr");
    return listed;
}

}  // namespace

ListEvent read_list_event(const json::Value& event) {
    ListEvent result;
    if (event.IsNumber()) {  // the event's number alone, without a list
        result.number = json::convert<std::int64_t>(event, "n");
        return result;
    }
    if (!event.IsObject()) json::throw_bad_input("an event must be an object");
    result.number = json::get_required<std::int64_t>(event, "n");
    const json::Value* members = json::find(event, "members");
    if (!members) return result;
    if (!members->IsObject()) json::throw_bad_key("members", "an object");
    result.has_list = true;
    result.version = json::get_or<std::int64_t>(*members, "version", 0);
    result.kind = json::get_or(*members, "full", false) ? ListKind::complete : ListKind::changes;
    for (const json::Value& server : json::get_container(*members, "servers", true).GetArray())
        result.entries.push_back(read_entry(server));
    return result;
}

ListEvent read_list_event(std::string_view line) {
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
    if (document.HasParseError()) json::throw_bad_input("not JSON");
    return read_list_event(document);
}

std::string write_list_event(const ListEvent& event) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    const auto write_field = [&writer](const char* key, const std::string& value) {
        writer.Key(key);
        writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    writer.StartObject();
    writer.Key("n"), writer.Int64(event.number);
    writer.Key("members"), writer.StartObject();
    writer.Key("version"), writer.Int64(event.version);
    writer.Key("full"), writer.Bool(event.kind != ListKind::changes);
    writer.Key("servers"), writer.StartArray();
    for (const auto& [entry, address] : event.entries) {
        writer.StartObject();
        write_field("id", entry.exchange), write_field("addr", address), write_field("zone", entry.zone),
            write_field("kind", entry.kind);
        write_field("state", entry.state == ExchangeState::ready      ? "active"
                             : entry.state == ExchangeState::draining ? "leaving"
                                                                      : "left");
        writer.Key("cell"), writer.Int(entry.number);
        writer.Key("weight"), writer.Double(entry.size);
        writer.Key("started_ms");
        writer.Int64(std::chrono::duration_cast<std::chrono::milliseconds>(entry.started).count());
        writer.EndObject();
    }
    writer.EndArray(), writer.EndObject(), writer.EndObject();
    return std::string(buffer.GetString(), buffer.GetSize());
}

std::string FeedSession::subscribe() {
    end_ = 0;
    return "SUB " + std::to_string(last_number_) + "\n";
}

std::span<char> FeedSession::read_buffer() {
    bytes_.resize(end_ + kReadBytes);
    if (end_ == 0) bytes_.shrink_to_fit();  // frees the memory that a long line took
    return {bytes_.data() + end_, bytes_.size() - end_};
}

bool FeedSession::consume(std::size_t bytes) {
    end_ += bytes;
    std::string_view rest(bytes_.data(), end_);
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
        if (end > max_line_bytes_ || !handle_line(rest.substr(0, end))) return false;
        rest.remove_prefix(end + 1);
        ++whole_lines_;
    }
    std::memmove(bytes_.data(), rest.data(), rest.size());
    end_ = rest.size();
    return end_ <= max_line_bytes_;
}

void FeedSession::catch_up(std::int64_t last_number, const std::vector<ListEvent>& events) {
    for (const ListEvent& event : events) handle_event(event);
    last_number_ = std::max(last_number_, last_number);
}

// Skips events that were handled before: after a reconnection they may come twice. A number without a list
// only shows that the feed is alive; it doesn't show that the events up to it have come, so it isn't
// remembered.
void FeedSession::handle_event(const ListEvent& event) {
    if (!event.has_list || event.number <= last_number_) return;
    last_number_ = event.number;
    handler_(event);
}

bool FeedSession::handle_line(std::string_view text) {
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    if (text.empty()) return true;
    try {
        handle_event(read_list_event(text));
    } catch (const json::BadInput&) {
        return false;
    }
    return true;
}

}  // namespace nettlestall::protocol

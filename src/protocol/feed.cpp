#include "protocol/feed.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstring>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kRead = 16 * 1024;

ExchangeState read_state(const std::string& state) {
    if (state == "active") return ExchangeState::ready;
    if (state == "leaving") return ExchangeState::draining;
    if (state == "left") return ExchangeState::gone;
    json::throw_bad_input("unknown 'state' '" + state + "'");
}

ListedExchange read_entry(const json::Value& server) {
    if (!server.IsObject()) json::throw_bad_input("'servers' must hold objects");
    ListedExchange listed;
    ExchangeEntry& e = listed.entry;
    e.exchange = json::get_required<std::string>(server, "id");
    e.state = read_state(json::get_required<std::string>(server, "state"));
    e.number = json::get_or(server, "cell", kNoExchange);
    e.zone = json::get_or<std::string>(server, "zone", "");
    e.kind = json::get_or<std::string>(server, "kind", "");
    e.size = json::get_or(server, "weight", 1.0);
    e.started = std::chrono::milliseconds(json::get_or<std::int64_t>(server, "started_ms", 0));
    listed.address = json::get_or<std::string>(server, "addr", "");
    if (listed.address.empty() && e.state != ExchangeState::gone) json::throw_missing_key("addr");
    return listed;
}

}  // namespace

ListEvent read_list_event(const json::Value& event) {
    ListEvent read;
    if (event.IsNumber()) {  // a bare number
        read.number = json::convert<std::int64_t>(event, "n");
        return read;
    }
    if (!event.IsObject()) json::throw_bad_input("an event must be an object");
    read.number = json::get_required<std::int64_t>(event, "n");
    const json::Value* members = json::find(event, "members");
    if (!members) return read;
    if (!members->IsObject()) json::throw_bad_key("members", "an object");
    read.has_list = true;
    read.version = json::get_or<std::int64_t>(*members, "version", 0);
    read.kind = json::get_or(*members, "full", false) ? ListKind::complete : ListKind::changes;
    for (const json::Value& server : json::get_container(*members, "servers", true).GetArray())
        read.entries.push_back(read_entry(server));
    return read;
}

ListEvent read_list_event(std::string_view line) {
    rapidjson::Document document;
    document.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
    if (document.HasParseError()) json::throw_bad_input("not JSON");
    return read_list_event(document);
}

std::string write_list_event(const ListEvent& event) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> out(text);
    const auto field = [&out](const char* key, const std::string& value) {
        out.Key(key);
        out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    out.StartObject();
    out.Key("n"), out.Int64(event.number);
    out.Key("members"), out.StartObject();
    out.Key("version"), out.Int64(event.version);
    out.Key("full"), out.Bool(event.kind != ListKind::changes);
    out.Key("servers"), out.StartArray();
    for (const auto& [e, address] : event.entries) {
        out.StartObject();
        field("id", e.exchange), field("addr", address), field("zone", e.zone), field("kind", e.kind);
        field("state", e.state == ExchangeState::ready      ? "active"
                       : e.state == ExchangeState::draining ? "leaving"
                                                            : "left");
        out.Key("cell"), out.Int(e.number);
        out.Key("weight"), out.Double(e.size);
        out.Key("started_ms");
        out.Int64(std::chrono::duration_cast<std::chrono::milliseconds>(e.started).count());
        out.EndObject();
    }
    out.EndArray(), out.EndObject(), out.EndObject();
    return std::string(text.GetString(), text.GetSize());
}

std::string FeedSession::subscribe() {
    end_ = 0;
    return "SUB " + std::to_string(last_) + "\n";
}

std::span<char> FeedSession::read_buffer() {
    bytes_.resize(end_ + kRead);
    if (end_ == 0) bytes_.shrink_to_fit();  // after a long line
    return {bytes_.data() + end_, bytes_.size() - end_};
}

bool FeedSession::consume(std::size_t bytes) {
    end_ += bytes;
    std::string_view rest(bytes_.data(), end_);
    for (auto at = rest.find('\n'); at != std::string_view::npos; at = rest.find('\n')) {
        if (at > longest_ || !line(rest.substr(0, at))) return false;
        rest.remove_prefix(at + 1);
        ++whole_lines_;
    }
    std::memmove(bytes_.data(), rest.data(), rest.size());
    end_ = rest.size();
    return end_ <= longest_;
}

void FeedSession::catch_up(std::int64_t last, const std::vector<ListEvent>& events) {
    for (const ListEvent& event : events) take(event);
    last_ = std::max(last_, last);
}

// After a resumption events may come twice; a bare number is a sign of life and proves nothing read.
void FeedSession::take(const ListEvent& event) {
    if (!event.has_list || event.number <= last_) return;
    last_ = event.number;
    take_(event);
}

bool FeedSession::line(std::string_view text) {
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    if (text.empty()) return true;
    try {
        take(read_list_event(text));
    } catch (const json::BadInput&) {
        return false;
    }
    return true;
}

}  // namespace nettlestall::protocol

#include "host.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cmath>

#include "config/settings.hpp"

namespace nettlestall::wire {
namespace {

using namespace json;
using Json = json::Value;

// The simulator's times are in seconds.
double to_seconds(Duration time) {
    return static_cast<double>(time.count()) / 1e6;
}

// The index of a class or tenant in the settings; events refer to these by name. `what` is the key, for the
// error text. Throws BadInput.
int index_of(const std::vector<std::string>& names, const std::string& name, const char* what) {
    for (std::size_t i = 0; i < names.size(); ++i)
        if (names[i] == name) return static_cast<int>(i);
    throw_bad_input(std::string("unknown ") + what + " '" + name + "'");
}

// The load in the event's 'usage'. Fields that it lacks stay negative: not reported.
LoadReport read_load(const Json& event) {
    LoadReport load;
    const Json& usage = get_container_or_empty(event, "usage", false);
    const auto circuits = [&](const char* key) {
        return static_cast<int>(std::lround(std::clamp(get_or(usage, key, -1.0), -1.0, 1e9)));
    };
    load.free_circuits = circuits("free");
    load.group_size = circuits("size");
    load.busy_messages = get_or(usage, "busy_reqs", -1.0);
    load.waiting_messages = get_or(usage, "pending", -1.0);
    load.utilisation = get_or(usage, "cpu_share", -1.0);
    load.wait_ms = get_or(usage, "svc_ms", -1.0);
    load.max_set_ups_per_second = get_or(usage, "can_take", -1.0);
    load.throttle_share = get_or(usage, "hold_back", -1.0);
    return load;
}

// The exchanges that a census lists. Throws BadInput.
std::vector<ExchangeEntry> read_entries(const Json& census) {
    std::vector<ExchangeEntry> entries;
    for (const Json& member : get_container(census, "members_list", true).GetArray()) {
        if (!member.IsObject()) throw_bad_input("'members_list' must hold objects");
        ExchangeEntry e;
        e.exchange = get_required<std::string>(member, "exchange");
        e.number = get_or(member, "node_no", 0);
        const std::string health = get_required<std::string>(member, "health");
        if (health == "Ready") {
            e.state = ExchangeState::ready;
        } else if (health == "Terminating") {
            e.state = ExchangeState::draining;
        } else if (health == "Gone") {
            e.state = ExchangeState::gone;
        } else {
            throw_bad_input("unknown 'health' '" + health + "'");
        }
        e.started = get_duration_or(member, "boot_time_s");
        e.zone = get_or<std::string>(member, "campus", "");
        e.kind = get_or<std::string>(member, "generation_hw", "");
        e.size = get_or(member, "size", 1.0);
        entries.push_back(std::move(e));
    }
    return entries;
}

// The bytes that hex digits stand for. Throws BadInput.
std::vector<std::uint8_t> read_hex(const std::string& text) {
    const auto digit = [](char c) {
        if (c >= '0' && c <= '9') return c - '0';
        if (c >= 'a' && c <= 'f') return c - 'a' + 10;
        if (c >= 'A' && c <= 'F') return c - 'A' + 10;
        throw_bad_input("'blob' must be hex digits");
    };
    if (text.size() % 2) throw_bad_input("'blob' must be whole bytes");
    std::vector<std::uint8_t> bytes;
    for (std::size_t i = 0; i < text.size(); i += 2)
        bytes.push_back(static_cast<std::uint8_t>(digit(text[i]) * 16 + digit(text[i + 1])));
    return bytes;
}

// Two hex digits for each byte, in lower case.
std::string write_hex(const std::vector<std::uint8_t>& bytes) {
    std::string text;
    for (const std::uint8_t byte : bytes)
        for (const int nibble : {byte >> 4, byte & 15}) text += "0123456789abcdef"[nibble];
    return text;
}

// The outcome that a letter stands for. Throws BadInput.
Outcome read_outcome(const std::string& code) {
    if (code == "S") return Outcome::ended;
    if (code == "E") return Outcome::failed;
    if (code == "F") return Outcome::rejected;
    if (code == "T") return Outcome::timed_out;
    if (code == "C") return Outcome::unreachable;
    if (code == "R") return Outcome::reset;
    if (code == "X") return Outcome::cancelled;
    if (code == "N") return Outcome::not_sent;
    throw_bad_input("unknown 'disposition' '" + code + "'");
}

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

// Writes a member with a string value.
void write_text(JsonWriter& out, const char* key, const std::string& text) {
    out.Key(key);
    out.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

// Writes an action as members of the JSON object that is open in `out`.
struct ActionWriter {
    JsonWriter& out;

    // Writes the name of the command; the second form also writes a member with a string value.
    void command(const char* name) const {
        out.Key("cmd");
        out.String(name);
    }
    void command(const char* name, const char* key, const std::string& text) const {
        command(name);
        write_text(out, key, text);
    }
    void time(const char* key, Duration time) const {
        out.Key(key);
        out.Double(to_seconds(time));
    }

    void operator()(const SetUp& a) const {
        command("assign", "xid", a.call);
        write_text(out, "exchange", a.exchange);
        time("max_wait_s", a.time_out);
    }
    void operator()(const Refuse& a) const {
        command("shed", "xid", a.call);
        if (a.pause > Duration::zero()) time("pause_s", a.pause);
    }
    void operator()(const Fail& a) const { command("give_up", "xid", a.call); }
    void operator()(const Cancel& a) const {
        command("recall", "xid", a.call);
        out.Key("n");
        out.Int(a.attempt);
    }
    void operator()(const Probe& a) const { command("health_check", "exchange", a.exchange); }
    void operator()(const SendPeerMessage& a) const {
        command("signal");
        out.Key("dest");
        if (a.to < 0) {
            out.Null();
        } else {
            out.Int(a.to);
        }
        write_text(out, "blob", write_hex(a.bytes));
    }
    void operator()(const SetTimer& a) const {
        command("wake_at");
        time("delay_s", a.delay);
        out.Key("ref");
        out.Int64(a.token);
    }
    void operator()(const SubscribeList& a) const {
        command("watch");
        out.Key("on");
        out.Bool(a.on);
    }
    void operator()(const RequestList&) const { command("get_list"); }
    void operator()(const CloseIdleConnection& a) const { command("hang_up", "exchange", a.exchange); }
    void operator()(const Note& a) const { command("record", "msg", a.text); }
};

}  // namespace

// One call control, with the names by which events refer to its classes and tenants.
struct Host::Instance {
    explicit Instance(const Settings& settings, std::uint64_t seed) : control(settings, seed) {
        for (const auto& c : settings.classes) class_names.push_back(c.name);
        for (const auto& t : settings.tenants) tenant_names.push_back(t.name);
    }

    // The event that a command stands for; `event` is its JSON object. Throws BadInput.
    Event read_event(const std::string& cmd, const Json& event) const {
        if (cmd == "demand") {
            CallOffered e;
            e.call = get_required<std::string>(event, "xid");
            e.destination = get_required<int>(event, "dest");
            e.width = get_required<int>(event, "channels");
            if (e.width < 1) throw_bad_input("'channels' must be 1 or more");
            e.service_class =
                index_of(class_names, get_required<std::string>(event, "category"), "'category'");
            if (const Json* group = find(event, "client_group"); group && group->IsString())
                e.tenant =
                    index_of(tenant_names, convert<std::string>(*group, "client_group"), "'client_group'");
            e.transit = get_or(event, "transit", false);
            (e.transit ? e.previous_exchange : e.advised_exchange) = get_or(event, "hop", kNoExchange);
            e.time_left = get_required_duration(event, "grace_s");
            e.expected_work = get_duration_or(event, "work_hint_s");
            e.is_reconnect = get_or(event, "reconnect", false);
            e.redial = get_or(event, "retry", false);
            e.called_number = get_or<std::string>(event, "name_key", "");
            return e;
        }
        if (cmd == "flowing")
            return CallAnswered{get_required<std::string>(event, "xid"), get_required<int>(event, "n"),
                                get_required<std::string>(event, "exchange"),
                                get_duration_or(event, "lag_s")};
        if (cmd == "completed") {
            AttemptEnded e;
            e.call = get_required<std::string>(event, "xid");
            e.attempt = get_required<int>(event, "n");
            e.exchange = get_required<std::string>(event, "exchange");
            e.outcome = read_outcome(get_required<std::string>(event, "disposition"));
            e.final = get_or(event, "last", false);
            e.response_time = get_duration_or(event, "lag_s");
            e.load = read_load(event);
            const int reason = get_or(event, "reason", 0);
            if (reason == 18) {
                e.cause = Cause::far_processor_full;
            } else if (reason % 16 == 3) {  // 3 + 16 * the requested wait in milliseconds
                e.cause = Cause::processor_full;
                e.requested_wait = std::chrono::milliseconds(reason / 16);
            } else if (reason == 1) {
                e.cause = Cause::no_circuit;
            } else if (reason == 2) {
                e.cause = Cause::rejected_by_tandem;
            } else if (reason == 4) {
                e.cause = Cause::number_busy;
            }
            return e;
        }
        if (cmd == "expired") return CallAbandoned{get_required<std::string>(event, "xid")};
        if (cmd == "health") {
            ExchangeReport e;
            e.exchange = get_required<std::string>(event, "exchange");
            e.answered = read_outcome(get_required<std::string>(event, "disposition")) == Outcome::ended;
            e.response_time = get_duration_or(event, "lag_s");
            e.probe = !e.answered || e.response_time > Duration::zero();
            e.load = read_load(event);
            return e;
        }
        if (cmd == "neighbour_says")
            return PeerMessage{get_required<int>(event, "neighbour"),
                               read_hex(get_required<std::string>(event, "blob"))};
        if (cmd == "wakeup") return TimerExpired{get_required<std::int64_t>(event, "ref")};
        throw_bad_input("unknown command '" + cmd + "'");
    }

    CallControl control;
    std::vector<std::string> class_names;
    std::vector<std::string> tenant_names;
};

std::string Host::handle_batch(const std::string& line) {
    rapidjson::Document batch;
    batch.Parse<rapidjson::kParseFullPrecisionFlag | rapidjson::kParseIterativeFlag>(line.data(),
                                                                                     line.size());
    if (batch.HasParseError()) throw_bad_input("not JSON");
    if (!batch.IsObject()) throw_bad_input("a batch must be an object");
    const Instant now = get_required_duration(batch, "ts_s");
    rapidjson::StringBuffer text;
    JsonWriter out(text);
    out.StartObject();
    out.Key("n");
    out.Int64(get_required<std::int64_t>(batch, "n"));
    out.Key("groups");
    out.StartArray();
    for (const Json& group : get_container(batch, "groups", true).GetArray()) {
        if (!group.IsObject()) throw_bad_input("'groups' must hold objects");
        const int router = get_required<int>(group, "router");
        std::vector<Action> actions;
        std::size_t number = 0;
        for (const Json& event : get_container(group, "input", true).GetArray()) {
            std::string cmd = "?";
            try {
                if (!event.IsObject()) throw_bad_input("an event must be an object");
                cmd = get_required<std::string>(event, "cmd");
                if (cmd == "census") {
                    const int buffer = get_required<int>(event, "buffer");
                    if (buffer < 0 || buffer > 15) throw_bad_input("'buffer' must be 0 to 15");
                    exchange_lists_[buffer] = read_entries(event);
                } else if (cmd == "born") {
                    instances_[router] = std::make_shared<Instance>(
                        config::read_settings(get_container(event, "facts", false)),
                        get_required<std::uint64_t>(event, "entropy"));
                } else {
                    const auto at = instances_.find(router);
                    if (at == instances_.end()) throw_bad_input("no such instance was born");
                    if (cmd == "retire") {
                        instances_.erase(at);
                        actions.clear();
                    } else if (cmd == "sync") {
                        ExchangeList list;
                        list.version = get_or<std::int64_t>(event, "generation", 0);
                        const std::string kind = get_required<std::string>(event, "kind");
                        list.kind = kind == "delta"    ? ListKind::changes
                                    : kind == "full"   ? ListKind::complete
                                    : kind == "cached" ? ListKind::cached
                                    : kind == "failed" ? ListKind::failed
                                                       : (throw_bad_input("unknown 'kind' '" + kind + "'"),
                                                          ListKind::failed);
                        if (list.kind != ListKind::failed) {
                            const auto entries = exchange_lists_.find(get_required<int>(event, "buffer"));
                            if (entries == exchange_lists_.end())
                                throw_bad_input("unknown census number in 'buffer'");
                            list.entries = entries->second;
                        }
                        at->second->control.handle(now, list, actions);
                    } else {
                        at->second->control.handle(now, at->second->read_event(cmd, event), actions);
                    }
                }
            } catch (const BadInput& error) {
                throw_bad_input("router " + std::to_string(router) + ", event " + std::to_string(number) +
                                " (" + cmd + "): " + error.what());
            }
            ++number;
        }
        if (actions.empty()) continue;
        out.StartObject();
        out.Key("router");
        out.Int(router);
        out.Key("actions");
        out.StartArray();
        for (const Action& action : actions) {
            out.StartObject();
            std::visit(ActionWriter{out}, action);
            out.EndObject();
        }
        out.EndArray();
        out.EndObject();
    }
    out.EndArray();
    out.EndObject();
    return {text.GetString(), text.GetSize()};
}

}  // namespace nettlestall::wire

// Parsers and sessions against random cuts of valid messages and against random garbage, from fixed seeds.
#include <cstring>
#include <string>
#include <vector>

#include "check.hpp"
#include "protocol/callers.hpp"
#include "protocol/feed.hpp"
#include "protocol/handover.hpp"
#include "protocol/operators.hpp"
#include "protocol/switches.hpp"

using namespace nettlestall;
using namespace nettlestall::protocol;
using test::Random;

namespace {

const CallId kCall = "00ff10a0b1c2d3e4";

std::string bytes(const Frame& frame) {
    return frame.header + (frame.description ? *frame.description : "");
}

std::string set_up(const CallId& call, const std::string& description) {
    return bytes(FrameBuilder(MessageType::set_up, call)
                     .text(ParameterCode::service_class, "move")
                     .text(ParameterCode::time_left, "1500")
                     .text(ParameterCode::redial, "1")
                     .text(ParameterCode::number, "7f3a9c21e0b4d655")
                     .text(ParameterCode::attributes, "dest:2;width:3;via:-1;transit:1;new:7")
                     .build(std::make_shared<const std::string>(description)));
}

// Writes down what a session tells the call table, and what it writes.
struct Notes final : CallerEvents, SwitchEvents, CallerSession::Output {
    std::vector<std::string> told;
    std::string written;
    bool in = true;

    void on_set_up(CallerLink&, const SetUpRequest& o) override {
        told.push_back("offered " + o.call + ' ' + std::string(o.service_class) + ' ' +
                       std::string(o.number) + ' ' + std::to_string(o.time_left.count()) + ' ' +
                       std::to_string(o.destination) + std::to_string(o.width) + std::to_string(o.via) +
                       (o.transit ? "t" : "") + (o.was_cut ? "a" : "") + (o.redial ? "r" : "") + ' ' +
                       std::string(o.description));
    }
    void on_release(CallerLink&, const CallId& call) override { told.push_back("released " + call); }
    bool is_ready() override { return in; }
    void on_caller_connected(CallerLink&) override {}
    void on_caller_disconnected(CallerLink&) override {}
    void on_answer(const ExchangeId& at, const CallId& call, std::string_view d) override {
        told.push_back("stands " + at + ' ' + call + ' ' + std::string(d));
    }
    void on_call_ended(const ExchangeId&, const CallId& call, Outcome o, Cause c,
                       const LoadReport& l) override {
        told.push_back("ended " + call + ' ' + std::to_string(static_cast<int>(o)) + ' ' +
                       std::to_string(static_cast<int>(c)) + ' ' + std::to_string(l.free_circuits));
    }
    void on_group_state(const ExchangeId&, const LoadReport& l) override {
        told.push_back("group " + std::to_string(l.free_circuits) + '/' + std::to_string(l.group_size));
    }
    void on_process_failed(const ExchangeId&) override {}
    void send(Frame frame) override { written += bytes(frame); }
};

template <class Session>
bool feed(Session& session, std::string_view text, Random* dice = nullptr) {
    while (!text.empty()) {
        const std::span<char> space = session.read_buffer();
        CHECK(!space.empty());
        std::size_t part = std::min(space.size(), text.size());
        if (dice) part = 1 + dice->below(part);
        std::memcpy(space.data(), text.data(), part);
        if (!session.consume(part)) return false;
        text.remove_prefix(part);
    }
    return true;
}

void callers_say_the_same_however_cut() {
    const std::string all = set_up(kCall, "v=0 \xff\x00z") +
                            bytes(FrameBuilder(MessageType::progress, kCall).build()) +
                            bytes(FrameBuilder(MessageType::release, kCall).cause(16).build()) +
                            set_up("0000000000000001", std::string(15'000, 'd')) +
                            bytes(FrameBuilder(MessageType::health_check, kCall).cause(0).build());
    Counters counters;
    Notes whole;
    CallerSession at_once(whole, whole, counters);
    CHECK(feed(at_once, all));
    CHECK(whole.told.size() == 3);
    CHECK(whole.told[0] == "offered " + kCall + " move 7f3a9c21e0b4d655 1500000 23-1tr v=0 \xff");
    CHECK(whole.told[1] == "released " + kCall);
    CHECK(whole.told[2].size() > 15'000);
    CHECK(whole.written == bytes(FrameBuilder(MessageType::release_complete, kCall).build()) +
                               bytes(FrameBuilder(MessageType::health_check_result, kCall).cause(1).build()));
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random dice{seed};
        Notes cut;
        CallerSession session(cut, cut, counters);
        CHECK(feed(session, all, &dice));
        CHECK(cut.told == whole.told && cut.written == whole.written);
    }
}

void switches_say_what_the_protocol_means() {
    Counters counters;
    Notes notes;
    SwitchSession session("s-1", notes, counters);
    const auto release = [](std::uint8_t cause, const char* note) {
        FrameBuilder frame(MessageType::release, kCall);
        if (*note) frame.text(ParameterCode::note, note);
        return bytes(frame.text(ParameterCode::report, "x0:3;x1:9;queue:2").cause(cause).build());
    };
    std::string all =
        bytes(FrameBuilder(MessageType::group_state, "").text(ParameterCode::report, "x0:12;x1:40").build());
    all += bytes(FrameBuilder(MessageType::answer, kCall).build(std::make_shared<const std::string>("sdp")));
    struct {
        std::uint8_t cause;
        const char* note;
        Outcome outcome;
        Cause why;
    } const table[] = {{34, "no_circuit", Outcome::rejected, Cause::no_circuit},
                       {34, "turned_back", Outcome::rejected, Cause::rejected_by_tandem},
                       {34, "far_overload", Outcome::rejected, Cause::far_processor_full},
                       {34, "overload", Outcome::rejected, Cause::processor_full},
                       {17, "lines_busy", Outcome::failed, Cause::number_busy},
                       {47, "", Outcome::failed, Cause::none},
                       {102, "overload", Outcome::not_sent, Cause::processor_full},
                       {41, "", Outcome::reset, Cause::none},
                       {16, "", Outcome::ended, Cause::none},
                       {99, "unheard_of", Outcome::failed, Cause::none}};
    std::vector<std::string> expected{"group 12/40", "stands s-1 " + kCall + " sdp"};
    for (const auto& row : table) {
        all += release(row.cause, row.note);
        expected.push_back("ended " + kCall + ' ' + std::to_string(static_cast<int>(row.outcome)) + ' ' +
                           std::to_string(static_cast<int>(row.why)) + " 3");
    }
    Random dice{77};
    CHECK(feed(session, all, &dice));
    CHECK(notes.told == expected);
}

void messages_are_written_as_the_protocol_says() {
    const OutgoingSetUp forward{"0123456789abcdef", "move", "77", std::make_shared<const std::string>("d\n"),
                                std::chrono::microseconds(1'200'001)};
    CHECK(bytes(SwitchSession::set_up_frame(forward)) ==
          std::string("\x00\x21\x01\x01\x23\x45\x67\x89\xab\xcd\xef"
                      "\x10\x00\x04move\x12\x00\x04"
                      "1201\x18\x00\x02"
                      "77\x2e\x00\x02"
                      "d\n",
                      35));
    CHECK(bytes(SwitchSession::release_frame("0123456789abcdef")) ==
          std::string("\x00\x0d\x0c\x01\x23\x45\x67\x89\xab\xcd\xef\x2c\x00\x01\x10", 15));
}

void malformed_bytes_are_told() {
    const std::string bad[] = {
        std::string("\x00\x08\x01", 3),                                        // shorter than a head
        std::string("\x3f\xff", 2),                                            // longer than any message
        std::string("\x00\x0b\x01", 3) + std::string("12345678\x10\x00", 10),  // half a parameter's head
        std::string("\x00\x0d\x01", 3) + "12345678" + std::string("\x10\x00\x05x", 4)};  // past the message
    const std::string without_description = bytes(FrameBuilder(MessageType::answer, kCall).build());
    const std::string unheard_of = bytes(FrameBuilder(static_cast<MessageType>(99), kCall).build());
    for (const std::string& text : {without_description, unheard_of}) {
        Counters counters;
        Notes notes;
        SwitchSession session("s-1", notes, counters);
        CHECK(!feed(session, text) && counters.malformed == 1 && notes.told.empty());
    }
    for (const std::string& text : bad) {
        Counters counters;
        Notes notes;
        CallerSession session(notes, notes, counters);
        CHECK(!feed(session, text));
        CHECK(counters.malformed == 1 && notes.told.empty());
    }
}

// An announced length is judged before there is room for it, and the room is given back.
void memory_is_taken_for_a_message_only_while_it_comes() {
    Counters counters;
    Notes notes;
    CallerSession session(notes, notes, counters);
    const std::size_t at_rest = session.read_buffer().size();
    CHECK(at_rest <= 4096);
    const std::string longest = set_up(kCall, std::string(16'000, 'd'));
    CHECK(feed(session, longest.substr(0, 5)));
    CHECK(session.has_partial_message() && session.read_buffer().size() >= longest.size() - 5);
    CHECK(feed(session, longest.substr(5)));
    CHECK(!session.has_partial_message() && session.whole_messages() == 1 &&
          session.read_buffer().size() == at_rest);

    FeedSession list(
        0, [](const ListEvent&) {}, 1000);
    CHECK(feed(list, std::string(900, ' ') + "1\n"));
    CHECK(!feed(list, std::string(20'000, ' ')));
}

// A set-up that carrier switches could not read closes its own connection here, not one of theirs.
void what_no_switch_can_read_is_malformed() {
    const auto too_long = [] {  // it fits as it came, but not with a patience of its full length
        const std::string rest = set_up(kCall, "");
        return set_up(kCall, std::string(kMaxMessageBytes - rest.size(), 'd'));
    };
    for (const std::string& text : {set_up("0000000000000000", "sdp"), too_long()}) {
        Counters counters;
        Notes notes;
        CallerSession session(notes, notes, counters);
        CHECK(!feed(session, text) && notes.told.empty() && counters.malformed == 1);
    }
}

void garbage_harms_nothing() {
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        Random dice{seed * 7919};
        std::string text = set_up(kCall, "some description") + bytes(SwitchSession::release_frame(kCall));
        // Half of it is damaged messages, which get further than noise.
        if (seed % 2) {
            for (std::size_t n = 1 + dice.below(8); n > 0; --n)
                text[dice.below(text.size())] = static_cast<char>(dice.below(256));
        } else {
            text.resize(dice.below(400));
            for (char& c : text) c = static_cast<char>(dice.below(256));
        }
        Counters counters;
        Notes notes;
        CallerSession caller(notes, notes, counters);
        feed(caller, text, &dice);
        SwitchSession at_switch("s", notes, counters);
        feed(at_switch, text, &dice);
        FeedSession list(0, [](const ListEvent&) {});
        feed(list, text + "\n", &dice);
        read_load_report(text);
    }
}

void the_feed_is_followed_and_resumed() {
    const std::string first =
        R"({"n":3,"members":{"version":7,"full":false,"servers":[{"id":"s-1","addr":"10.1.0.9:3868",)"
        R"("zone":"east","kind":"std","cell":2,"state":"leaving","weight":4,"started_ms":12}]}})";
    std::vector<ListEvent> events;
    FeedSession session(2, [&](const ListEvent& event) { events.push_back(event); });
    CHECK(session.subscribe() == "SUB 2\n");
    Random dice{5};
    CHECK(feed(session, first + "\n{\"n\":3}\n3\r\n" + first.substr(0, 40), &dice));
    CHECK(events.size() == 1 && session.last_number() == 3);
    const ListedExchange& x = events[0].entries.at(0);
    CHECK(x.entry.exchange == "s-1" && x.entry.state == ExchangeState::draining && x.entry.number == 2);
    CHECK(x.address == "10.1.0.9:3868" && x.entry.started == std::chrono::milliseconds(12));
    CHECK(events[0].kind == ListKind::changes);
    const ListEvent again =
        read_list_event(std::string_view(write_list_event(events[0])));  // as it is passed on
    CHECK(again.number == 3 && again.version == 7 && again.kind == ListKind::changes);
    CHECK(again.entries.at(0).address == x.address && again.entries[0].entry.started == x.entry.started);
    CHECK(again.entries[0].entry.state == x.entry.state && again.entries[0].entry.zone == "east");
    // The half line of the broken connection is gone; an event told twice is taken once.
    CHECK(session.subscribe() == "SUB 3\n");
    CHECK(feed(session, first + "\n", &dice) && events.size() == 1);
    for (const char* bad : {"{\"n\":4,\"members\":{}}\n", "nonsense\n", "[]\n",
                            "{\"n\":4,\"members\":{\"servers\":[{\"id\":\"s\",\"state\":\"lost\"}]}}\n"}) {
        session.subscribe();
        CHECK(!feed(session, bad));
    }
    CHECK(events.size() == 1);
}

void processes_understand_each_other_however_cut() {
    const HandoverMessage messages[] = {HandoverMessage::hello(),
                                        {HandoverKind::exchange_list, {std::string(100'000, 'x')}},
                                        {HandoverKind::take_over, {}},
                                        {HandoverKind::caller_connection, {"1", std::string("\0\x05", 2)}},
                                        {HandoverKind::standing_call, {"s-1", kCall, ""}}};
    std::string all;
    for (const auto& message : messages) all += message.encode();
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random dice{seed};
        HandoverReader inbox;
        CHECK(feed(inbox, all, &dice));
        for (const auto& message : messages) {
            const auto heard = inbox.next();
            CHECK(heard && heard->kind == message.kind && heard->parts == message.parts);
        }
        CHECK(!inbox.next());
    }
    CHECK(messages[0].is_valid_hello() && !messages[1].is_valid_hello());
    HandoverMessage newer = HandoverMessage::hello();
    newer.parts[1] = "2";
    CHECK(!newer.is_valid_hello());
    const std::string one = messages[4].encode();
    const std::string bad[] = {std::string(4, '\0'), "\xff\xff\xff\xff",  // no kind; too long
                               std::string("\0\0\0\1\x63", 5),            // an unknown kind
                               std::string("\0\0\0\1\1", 5),              // a part is missing
                               std::string("\0\0\0\6\7\0\0\0\2x", 10)};   // longer than the message
    for (const std::string& text : bad) {
        HandoverReader inbox;
        CHECK(!feed(inbox, text) && !inbox.next());
    }
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        Random dice{seed * 7027};
        std::string text = one + messages[0].encode();
        for (std::size_t n = 1 + dice.below(6); n > 0; --n)
            text[dice.below(text.size())] = static_cast<char>(dice.below(256));
        HandoverReader inbox;
        feed(inbox, text, &dice);
    }
}

struct Desk final : OperatorRequestHandler {
    std::optional<OperatorReply> handle_other(std::string_view method, std::string_view path,
                                              std::string_view query) override {
        if (path != "/other") return std::nullopt;
        if (method != "GET") return OperatorReply{405, "GET"};
        return OperatorReply{query.empty() ? 409 : 200, std::string(query)};
    }
    bool in = true;
    std::string ordered;
    bool is_ready() override { return in; }
    std::string metrics() const override { return "app.concurrent:3|g\n"; }
    void drain() override { ordered += "d"; }
    void undrain() override { ordered += "u"; }
};

// The status of the reply, however the call is cut; 0 where more is wanted.
int status(const std::string& text, Desk& desk, Random* dice = nullptr, std::string* reply = nullptr) {
    OperatorSession session(desk);
    feed(session, text, dice);
    if (reply) *reply = session.reply();
    return session.reply().empty() ? 0 : std::stoi(session.reply().substr(9, 3));
}

void operators_get_what_they_ask_for() {
    const std::string host = " HTTP/1.1\r\nHost: g\r\n", end = "\r\n";
    Desk desk;
    std::string reply;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Random dice{seed};
        CHECK(status("GET /ready" + host + end, desk, &dice) == 200);
        CHECK(status("\r\nPOST /drain?why=x" + host + "content-LENGTH: 5 \r\n\r\nabcde", desk, &dice) == 200);
        CHECK(status("GET /metrics HTTP/1.0\n\n", desk, &dice, &reply) == 200);
        CHECK(reply.ends_with("\r\nConnection: close\r\n\r\napp.concurrent:3|g\n"));
    }
    CHECK(desk.ordered == std::string(100, 'd'));
    CHECK(status("POST /undrain" + host + end, desk) == 200 && desk.ordered.back() == 'u');
    desk.in = false;
    CHECK(status("GET /ready" + host + end, desk) == 503);
    desk.ordered.clear();
    CHECK(status("GET /nothing" + host + end, desk) == 404);
    CHECK(status("GET /drain" + host + end, desk, nullptr, &reply) == 405);
    CHECK(reply.find("\r\nAllow: POST\r\n") != std::string::npos);
    CHECK(status("POST /ready" + host + end, desk) == 405);
    CHECK(status("POST /drain" + host + "Content-Length: 5\r\n\r\nabcd", desk) == 0);
    CHECK(status("POST /drain" + host + "Content-Length: 99999999999999999999\r\n\r\n", desk) == 413);
    CHECK(status("POST /drain" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", desk) == 400);
    CHECK(status("POST /drain" + host + "Transfer-Encoding: chunked\r\n\r\n", desk) == 501);
    CHECK(status("GET /ready HTTP/2.0\r\n\r\n", desk) == 505);
    for (const char* bad :
         {"GET /ready\r\n\r\n", "GET  HTTP/1.1\r\nHost: g\r\n\r\n", "GET ready HTTP/1.1\r\n\r\n",
          "G@T /ready HTTP/1.1\r\nHost: g\r\n\r\n", "GET /ready HTTP/1.1\r\n\r\n",
          "GET /ready HTTP/1.1\r\nHost : g\r\n\r\n", "\x16\x03\x01\n\n"})
        CHECK(status(bad, desk) == 400);
    CHECK(status("GET /ready" + host + "x: " + std::string(9000, 'x'), desk) == 431);
    CHECK(status(std::string(9000, '\n'), desk) == 431);
    CHECK(desk.ordered.empty());
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        Random dice{seed * 6151};
        std::string text = "POST /drain" + host + "Content-Length: 5\r\n" + end + "abcde";
        for (std::size_t n = 1 + dice.below(8); n > 0; --n)
            text[dice.below(text.size())] = static_cast<char>(dice.below(256));
        status(text, desk, &dice);
    }
}

}  // namespace

int main() {
    operators_get_what_they_ask_for();
    processes_understand_each_other_however_cut();
    callers_say_the_same_however_cut();
    switches_say_what_the_protocol_means();
    messages_are_written_as_the_protocol_says();
    malformed_bytes_are_told();
    memory_is_taken_for_a_message_only_while_it_comes();
    what_no_switch_can_read_is_malformed();
    garbage_harms_nothing();
    the_feed_is_followed_and_resumed();
}

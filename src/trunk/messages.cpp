#include "trunk/messages.hpp"

#include <array>
#include <utility>

namespace nettlestall::trunk {
namespace {

// Kinds on the wire. Numbered messages follow in the order of their variant.
enum Kind : std::uint8_t { kHello = 1, kHeartbeat = 2, kBye = 3, kFirstMessage = 16 };

constexpr std::array<std::string_view, std::variant_size_v<Message>> kNames{
    "seize", "accept",     "reject", "answer", "release",        "release complete",
    "reset", "reset done", "block",  "query",  "query response", "claims"};

class Writer {
   public:
    template <class T>
    Writer& number(T value) {
        auto left = static_cast<std::uint64_t>(value);
        char digits[sizeof(T)];
        for (std::size_t i = sizeof(T); i-- > 0; left >>= 8) digits[i] = static_cast<char>(left & 0xff);
        text_.append(digits, sizeof(T));
        return *this;
    }
    Writer& u8(int value) { return number(static_cast<std::uint8_t>(value)); }
    Writer& u16(int value) { return number(static_cast<std::uint16_t>(value)); }
    Writer& text(std::string_view value) {
        u16(static_cast<int>(value.size()));
        text_.append(value);
        return *this;
    }
    Writer& list(const CircuitList& circuits) {
        u16(static_cast<int>(circuits.size()));
        for (const CircuitNumber n : circuits) u16(n);
        return *this;
    }
    std::string take() { return std::move(text_); }

   private:
    std::string text_;
};

// Once something is wrong all that follows is empty, and done() is false.
class Reader {
   public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}

    template <class T>
    T number() {
        if (bytes_.size() < sizeof(T)) return fail(), T{};
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i)
            value = value << 8 | static_cast<unsigned char>(bytes_[i]);
        bytes_.remove_prefix(sizeof(T));
        return static_cast<T>(value);
    }
    int u8() { return number<std::uint8_t>(); }
    int u16() { return number<std::uint16_t>(); }
    std::uint32_t u32() { return number<std::uint32_t>(); }
    bool flag() { return check(u8(), 1) == 1; }
    CallRef call() { return number<CallRef>(); }
    int check(int value, int highest) {
        if (value > highest) fail();
        return ok_ ? value : 0;
    }
    Reason reason() { return static_cast<Reason>(check(u8(), kReasonCount - 1)); }
    Blocking blocking() { return static_cast<Blocking>(check(u8(), 2)); }
    std::string text(std::size_t longest) {
        const auto length = static_cast<std::size_t>(u16());
        if (length > bytes_.size() || length > longest) return fail(), std::string();
        std::string value(bytes_.substr(0, length));
        bytes_.remove_prefix(length);
        return value;
    }
    CircuitNumber circuit() {
        const int value = check(u16(), kMaxCircuitsPerGroup);
        if (value < 1) fail();
        return value;
    }
    CircuitList list(int most) {
        const int count = check(u16(), most);
        if (static_cast<std::size_t>(count) * 2 > bytes_.size()) fail();
        CircuitList circuits;
        for (int i = 0; ok_ && i < count; ++i) {
            circuits.push_back(circuit());
            if (i > 0 && circuits[static_cast<std::size_t>(i)] <= circuits[static_cast<std::size_t>(i - 1)])
                fail();
        }
        return circuits;
    }
    // So many entries of at least `bytes` each can follow.
    int count(int most, std::size_t bytes) {
        const int n = check(u16(), most);
        if (static_cast<std::size_t>(n) * bytes > bytes_.size()) return fail(), 0;
        return n;
    }
    void fail() { ok_ = false, bytes_ = {}; }
    bool ok() const { return ok_; }
    bool done() const { return ok_ && bytes_.empty(); }

   private:
    std::string_view bytes_;
    bool ok_ = true;
};

void put(Writer& w, const Seize& m) {
    const CallData& d = m.data;
    w.number(m.call).list(m.circuits).text(d.call).text(d.service_class).text(d.number);
    w.number(static_cast<std::int32_t>(d.destination)).number(static_cast<std::int32_t>(d.via));
    w.number(static_cast<std::int64_t>(d.wait.count())).u8(d.again).u8(d.redial).text(d.description);
}
void put(Writer& w, const Accept& m) {
    w.number(m.call);
}
void put(Writer& w, const Reject& m) {
    w.number(m.call).u8(static_cast<int>(m.reason));
}
void put(Writer& w, const Answer& m) {
    w.number(m.call).text(m.description);
}
void put(Writer& w, const Release& m) {
    w.number(m.call).u8(static_cast<int>(m.reason));
}
void put(Writer& w, const ReleaseComplete& m) {
    w.number(m.call);
}
void put(Writer& w, const Reset& m) {
    w.number(m.id).list(m.circuits);
}
void put(Writer& w, const ResetDone& m) {
    w.number(m.id).list(m.circuits);
}
void put(Writer& w, const Block& m) {
    w.u8(m.done).u8(static_cast<int>(m.blocking)).list(m.circuits);
}
void put(Writer& w, const Query& m) {
    w.number(m.id).u16(m.first).u16(m.count);
}
void put(Writer& w, const QueryResponse& m) {
    w.number(m.id).u16(m.first).u16(static_cast<int>(m.calls.size()));
    for (const CallRef call : m.calls) w.number(call);
}
void put(Writer& w, const Claims& m) {
    w.u16(static_cast<int>(m.calls.size()));
    for (const Claim& c : m.calls) w.number(c.call).list(c.circuits);
    w.u16(static_cast<int>(m.blocked.size()));
    for (const auto& [circuit, blocking] : m.blocked) w.u16(circuit).u8(static_cast<int>(blocking));
}

void get(Reader& r, Seize& m) {
    m.call = r.call(), m.circuits = r.list(kMaxCircuitsPerCall);
    CallData& d = m.data;
    d.call = r.text(kMaxTextBytes), d.service_class = r.text(kMaxTextBytes), d.number = r.text(kMaxTextBytes);
    d.destination = r.number<std::int32_t>(), d.via = r.number<std::int32_t>();
    d.wait = Duration(r.number<std::int64_t>());
    d.again = r.flag(), d.redial = r.flag(), d.description = r.text(kMaxDescriptionBytes);
    if (m.call == kNoCall || m.circuits.empty() || d.call.empty()) r.fail();
}
void get(Reader& r, Accept& m) {
    m.call = r.call();
}
void get(Reader& r, Reject& m) {
    m.call = r.call(), m.reason = r.reason();
}
void get(Reader& r, Answer& m) {
    m.call = r.call(), m.description = r.text(kMaxDescriptionBytes);
}
void get(Reader& r, Release& m) {
    m.call = r.call(), m.reason = r.reason();
}
void get(Reader& r, ReleaseComplete& m) {
    m.call = r.call();
}
void get(Reader& r, Reset& m) {
    m.id = r.u32(), m.circuits = r.list(kMaxCircuitsPerGroup);
}
void get(Reader& r, ResetDone& m) {
    m.id = r.u32(), m.circuits = r.list(kMaxCircuitsPerGroup);
}
void get(Reader& r, Block& m) {
    m.done = r.flag(), m.blocking = r.blocking(), m.circuits = r.list(kMaxCircuitsPerGroup);
}
void get(Reader& r, Query& m) {
    m.id = r.u32(), m.first = r.circuit(), m.count = r.check(r.u16(), kMaxCircuitsPerGroup);
}
void get(Reader& r, QueryResponse& m) {
    m.id = r.u32(), m.first = r.circuit();
    for (int left = r.count(kMaxCircuitsPerGroup, sizeof(CallRef)); r.ok() && left > 0; --left)
        m.calls.push_back(r.call());
}
void get(Reader& r, Claims& m) {
    for (int left = r.count(kMaxCircuitsPerGroup, 12); r.ok() && left > 0; --left) {
        Claim& claim = m.calls.emplace_back();
        claim.call = r.call(), claim.circuits = r.list(kMaxCircuitsPerCall);
        if (claim.call == kNoCall || claim.circuits.empty()) r.fail();
    }
    for (int left = r.count(kMaxCircuitsPerGroup, 3); r.ok() && left > 0; --left) {
        const CircuitNumber circuit = r.circuit();
        m.blocked.emplace_back(circuit, r.blocking());
    }
}

template <std::size_t I = 0>
std::optional<Message> read_message(std::size_t which, Reader& reader) {
    if constexpr (I < std::variant_size_v<Message>) {
        if (which != I) return read_message<I + 1>(which, reader);
        std::variant_alternative_t<I, Message> message;
        get(reader, message);
        if (!reader.done()) return std::nullopt;
        return Message(std::move(message));
    } else {
        return std::nullopt;
    }
}

std::string body_of(const Frame& frame) {
    Writer w;
    if (const auto* hello = std::get_if<Hello>(&frame)) {
        w.u8(kHello).u16(hello->version).u16(hello->point).u16(hello->far_point).number(hello->group);
        w.u16(hello->circuits)
            .number(hello->incarnation)
            .number(hello->far_incarnation)
            .number(hello->received);
    } else if (const auto* heartbeat = std::get_if<Heartbeat>(&frame)) {
        w.u8(kHeartbeat).number(heartbeat->received);
    } else if (const auto* bye = std::get_if<Bye>(&frame)) {
        w.u8(kBye).text(bye->reason);
    } else {
        const auto& numbered = std::get<NumberedMessage>(frame);
        w.u8(kFirstMessage + static_cast<int>(numbered.message.index()));
        w.number(numbered.sequence).number(numbered.received);
        std::visit([&w](const auto& message) { put(w, message); }, numbered.message);
    }
    return w.take();
}

}  // namespace

std::string_view name_of(const Message& message) {
    return kNames[message.index()];
}

std::string encode(const Frame& frame) {
    const std::string body = body_of(frame);
    return Writer().number(static_cast<std::uint32_t>(body.size())).take() + body;
}

std::optional<Frame> decode(std::string_view bytes) {
    Reader r(bytes);
    const int kind = r.u8();
    if (kind == kHello) {
        Hello m;
        m.version = r.number<std::uint16_t>(), m.point = r.u16(), m.far_point = r.u16(), m.group = r.u32();
        m.circuits = r.u16(), m.incarnation = r.u32(), m.far_incarnation = r.u32(), m.received = r.u32();
        if (r.done()) return m;
    } else if (kind == kHeartbeat) {
        const Heartbeat m{r.u32()};
        if (r.done()) return m;
    } else if (kind == kBye) {
        Bye m{r.text(kMaxTextBytes)};
        if (r.done()) return m;
    } else if (kind >= kFirstMessage) {
        NumberedMessage m;
        m.sequence = r.u32(), m.received = r.u32();
        auto message = read_message(static_cast<std::size_t>(kind - kFirstMessage), r);
        if (!message) return std::nullopt;
        m.message = std::move(*message);
        return m;
    }
    return std::nullopt;
}

FrameReader::Status FrameReader::next(Frame& frame) {
    const std::string_view rest = std::string_view(bytes_).substr(begin_);
    const auto drop = [this] { bytes_.erase(0, std::exchange(begin_, 0)); };
    if (rest.size() < kFrameLengthBytes) return drop(), Status::incomplete;
    const std::size_t length = Reader(rest.substr(0, kFrameLengthBytes)).u32();
    // Judged before there is room for what it announces.
    if (length == 0 || length > kMaxFrameBytes) return Status::malformed;
    if (rest.size() - kFrameLengthBytes < length) return drop(), Status::incomplete;
    auto found = decode(rest.substr(kFrameLengthBytes, length));
    if (!found) return Status::malformed;
    frame = std::move(*found);
    begin_ += kFrameLengthBytes + length;
    return Status::complete;
}

}  // namespace nettlestall::trunk

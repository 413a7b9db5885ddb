#include "trunk/messages.hpp"

#include <array>
#include <utility>

namespace nettlestall::trunk {
namespace {

// Values of a frame's kind field. A numbered message has kFirstMessage plus its index in the variant Message.
enum Kind : std::uint8_t { kHello = 1, kHeartbeat = 2, kBye = 3, kFirstMessage = 16 };

constexpr std::array<std::string_view, std::variant_size_v<Message>> kMessageNames{
    "seize", "accept",     "reject", "answer", "release",        "release complete",
    "reset", "reset done", "block",  "query",  "query response", "claims"};

// Appends fields to a byte string. Numbers are big-endian, as wide as their type.
class Writer {
   public:
    template <class T>
    Writer& number(T value) {
        auto remaining = static_cast<std::uint64_t>(value);
        char bytes[sizeof(T)];
        for (std::size_t i = sizeof(T); i-- > 0; remaining >>= 8)
            bytes[i] = static_cast<char>(remaining & 0xff);
        bytes_.append(bytes, sizeof(T));
        return *this;
    }
    Writer& u8(int value) { return number(static_cast<std::uint8_t>(value)); }
    Writer& u16(int value) { return number(static_cast<std::uint16_t>(value)); }
    Writer& text(std::string_view value) {
        u16(static_cast<int>(value.size()));
        bytes_.append(value);
        return *this;
    }
    Writer& circuits(const CircuitList& list) {
        u16(static_cast<int>(list.size()));
        for (const CircuitNumber n : list) u16(n);
        return *this;
    }
    std::string take() { return std::move(bytes_); }

   private:
    std::string bytes_;
};

// Reads fields from the start of `bytes`. After the first malformed field every further read yields zero or
// an empty value, and is_at_end() is false.
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
    bool flag() { return at_most(u8(), 1) == 1; }
    CallRef call() { return number<CallRef>(); }
    int at_most(int value, int max) {
        if (value > max) fail();
        return ok_ ? value : 0;
    }
    Reason reason() { return static_cast<Reason>(at_most(u8(), kReasonCount - 1)); }
    Blocking blocking() { return static_cast<Blocking>(at_most(u8(), 2)); }
    std::string text(std::size_t max_bytes) {
        const auto length = static_cast<std::size_t>(u16());
        if (length > bytes_.size() || length > max_bytes) return fail(), std::string();
        std::string value(bytes_.substr(0, length));
        bytes_.remove_prefix(length);
        return value;
    }
    CircuitNumber circuit() {
        const int value = at_most(u16(), kMaxCircuitsPerGroup);
        if (value < 1) fail();
        return value;
    }
    // At most `max` circuits in strictly ascending order.
    CircuitList circuits(int max) {
        const int count = at_most(u16(), max);
        if (static_cast<std::size_t>(count) * 2 > bytes_.size()) fail();
        CircuitList list;
        for (int i = 0; ok_ && i < count; ++i) {
            list.push_back(circuit());
            if (i > 0 && list[static_cast<std::size_t>(i)] <= list[static_cast<std::size_t>(i - 1)]) fail();
        }
        return list;
    }
    // The number of entries of a list, at most `max`. It fails if fewer bytes are left than that many entries
    // of `min_entry_bytes` each need, so no memory is reserved for entries that cannot follow.
    int entry_count(int max, std::size_t min_entry_bytes) {
        const int n = at_most(u16(), max);
        if (static_cast<std::size_t>(n) * min_entry_bytes > bytes_.size()) return fail(), 0;
        return n;
    }
    void fail() { ok_ = false, bytes_ = {}; }
    bool ok() const { return ok_; }
    bool is_at_end() const { return ok_ && bytes_.empty(); }

   private:
    std::string_view bytes_;
    bool ok_ = true;
};

// The fields of each message, in the order in which they are sent.
void write(Writer& w, const Seize& m) {
    const CallData& d = m.data;
    w.number(m.call).circuits(m.circuits).text(d.call).text(d.service_class).text(d.number);
    w.number(static_cast<std::int32_t>(d.destination)).number(static_cast<std::int32_t>(d.via));
    w.number(static_cast<std::int64_t>(d.time_limit.count()))
        .u8(d.is_reconnect)
        .u8(d.redial)
        .text(d.description);
}
void write(Writer& w, const Accept& m) {
    w.number(m.call);
}
void write(Writer& w, const Reject& m) {
    w.number(m.call).u8(static_cast<int>(m.reason));
}
void write(Writer& w, const Answer& m) {
    w.number(m.call).text(m.description);
}
void write(Writer& w, const Release& m) {
    w.number(m.call).u8(static_cast<int>(m.reason));
}
void write(Writer& w, const ReleaseComplete& m) {
    w.number(m.call);
}
void write(Writer& w, const Reset& m) {
    w.number(m.id).circuits(m.circuits);
}
void write(Writer& w, const ResetDone& m) {
    w.number(m.id).circuits(m.circuits);
}
void write(Writer& w, const Block& m) {
    w.u8(m.is_acknowledgement).u8(static_cast<int>(m.blocking)).circuits(m.circuits);
}
void write(Writer& w, const Query& m) {
    w.number(m.id).u16(m.first).u16(m.count);
}
void write(Writer& w, const QueryResponse& m) {
    w.number(m.id).u16(m.first).u16(static_cast<int>(m.calls.size()));
    for (const CallRef call : m.calls) w.number(call);
}
void write(Writer& w, const Claims& m) {
    w.u16(static_cast<int>(m.calls.size()));
    for (const Claim& c : m.calls) w.number(c.call).circuits(c.circuits);
    w.u16(static_cast<int>(m.blocked.size()));
    for (const auto& [circuit, blocking] : m.blocked) w.u16(circuit).u8(static_cast<int>(blocking));
}

// The reverse of write(): each reads the fields in the same order. Malformed fields set the reader to fail.
void read(Reader& r, Seize& m) {
    m.call = r.call(), m.circuits = r.circuits(kMaxCircuitsPerCall);
    CallData& d = m.data;
    d.call = r.text(kMaxTextBytes), d.service_class = r.text(kMaxTextBytes), d.number = r.text(kMaxTextBytes);
    d.destination = r.number<std::int32_t>(), d.via = r.number<std::int32_t>();
    d.time_limit = Duration(r.number<std::int64_t>());
    d.is_reconnect = r.flag(), d.redial = r.flag(), d.description = r.text(kMaxDescriptionBytes);
    if (m.call == kNoCall || m.circuits.empty() || d.call.empty()) r.fail();
}
void read(Reader& r, Accept& m) {
    m.call = r.call();
}
void read(Reader& r, Reject& m) {
    m.call = r.call(), m.reason = r.reason();
}
void read(Reader& r, Answer& m) {
    m.call = r.call(), m.description = r.text(kMaxDescriptionBytes);
}
void read(Reader& r, Release& m) {
    m.call = r.call(), m.reason = r.reason();
}
void read(Reader& r, ReleaseComplete& m) {
    m.call = r.call();
}
void read(Reader& r, Reset& m) {
    m.id = r.u32(), m.circuits = r.circuits(kMaxCircuitsPerGroup);
}
void read(Reader& r, ResetDone& m) {
    m.id = r.u32(), m.circuits = r.circuits(kMaxCircuitsPerGroup);
}
void read(Reader& r, Block& m) {
    m.is_acknowledgement = r.flag(), m.blocking = r.blocking(), m.circuits = r.circuits(kMaxCircuitsPerGroup);
}
void read(Reader& r, Query& m) {
    m.id = r.u32(), m.first = r.circuit(), m.count = r.at_most(r.u16(), kMaxCircuitsPerGroup);
}
void read(Reader& r, QueryResponse& m) {
    m.id = r.u32(), m.first = r.circuit();
    for (int remaining = r.entry_count(kMaxCircuitsPerGroup, sizeof(CallRef)); r.ok() && remaining > 0;
         --remaining)
        m.calls.push_back(r.call());
}
void read(Reader& r, Claims& m) {
    // A claim takes at least 12 bytes: its reference, the number of its circuits and one circuit.
    for (int remaining = r.entry_count(kMaxCircuitsPerGroup, 12); r.ok() && remaining > 0; --remaining) {
        Claim& claim = m.calls.emplace_back();
        claim.call = r.call(), claim.circuits = r.circuits(kMaxCircuitsPerCall);
        if (claim.call == kNoCall || claim.circuits.empty()) r.fail();
    }
    // A blocked circuit takes 3 bytes: its number and how it is blocked.
    for (int remaining = r.entry_count(kMaxCircuitsPerGroup, 3); r.ok() && remaining > 0; --remaining) {
        const CircuitNumber circuit = r.circuit();
        m.blocked.emplace_back(circuit, r.blocking());
    }
}

// Reads the fields of the message at `index` of the variant; std::nullopt if they are malformed or there is
// no such message.
template <std::size_t I = 0>
std::optional<Message> read_message(std::size_t index, Reader& reader) {
    if constexpr (I < std::variant_size_v<Message>) {
        if (index != I) return read_message<I + 1>(index, reader);
        std::variant_alternative_t<I, Message> message;
        read(reader, message);
        if (!reader.is_at_end()) return std::nullopt;
        return Message(std::move(message));
    } else {
        return std::nullopt;
    }
}

// The frame's kind and its fields.
std::string encode_body(const Frame& frame) {
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
        std::visit([&w](const auto& message) { write(w, message); }, numbered.message);
    }
    return w.take();
}

}  // namespace

std::string_view name_of(const Message& message) {
    return kMessageNames[message.index()];
}

std::string encode(const Frame& frame) {
    const std::string body = encode_body(frame);
    return Writer().number(static_cast<std::uint32_t>(body.size())).take() + body;
}

std::optional<Frame> decode(std::string_view bytes) {
    Reader r(bytes);
    const int kind = r.u8();
    if (kind == kHello) {
        Hello m;
        m.version = r.number<std::uint16_t>(), m.point = r.u16(), m.far_point = r.u16(), m.group = r.u32();
        m.circuits = r.u16(), m.incarnation = r.u32(), m.far_incarnation = r.u32(), m.received = r.u32();
        if (r.is_at_end()) return m;
    } else if (kind == kHeartbeat) {
        const Heartbeat m{r.u32()};
        if (r.is_at_end()) return m;
    } else if (kind == kBye) {
        Bye m{r.text(kMaxTextBytes)};
        if (r.is_at_end()) return m;
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
    const auto discard_decoded = [this] { bytes_.erase(0, std::exchange(begin_, 0)); };
    if (rest.size() < kFrameLengthBytes) return discard_decoded(), Status::incomplete;
    const std::size_t length = Reader(rest.substr(0, kFrameLengthBytes)).u32();
    // Checked before any memory is used for the announced length.
    if (length == 0 || length > kMaxFrameBytes) return Status::malformed;
    if (rest.size() - kFrameLengthBytes < length) return discard_decoded(), Status::incomplete;
    auto decoded = decode(rest.substr(kFrameLengthBytes, length));
    if (!decoded) return Status::malformed;
    frame = std::move(*decoded);
    begin_ += kFrameLengthBytes + length;
    return Status::complete;
}

}  // namespace nettlestall::trunk

// The messages of the trunk signalling and their compact binary coding. Terms follow Q.763, the coding is our
// own: numbers are big-endian, lists and texts have their length before them.
//
//     frame   = length:4 kind:1 body        length counts what follows it
//     hello   = version:2 point:2 far point:2 group:4 circuits:2 life:4 far life:4 received:4
//     numbered = sequence:4 received:4, then the message's own fields; heartbeat = received:4; bye = text
//
// Knows no socket, no clock and no state of a group.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// ---- Between groups, numbered ----------------------------------------------------------------------

struct Seize {  // initial address (IAM); the circuits rise
    CallRef call = kNoCall;
    CircuitList circuits{};
    CallData data{};
};
struct Accept {  // address complete (ACM): the circuits are taken
    CallRef call = kNoCall;
};
struct Reject {  // the seizure comes to nothing; nothing is held for it at the end that says so
    CallRef call = kNoCall;
    Reason reason = Reason::failed;
};
struct Answer {  // answer (ANM): the call stands
    CallRef call = kNoCall;
    std::string description{};
};
struct Release {  // release (REL), before or after the answer
    CallRef call = kNoCall;
    Reason reason = Reason::normal;
};
struct ReleaseComplete {  // release complete (RLC)
    CallRef call = kNoCall;
};
struct Reset {  // reset circuit (RSC) or circuit group reset (GRS)
    std::uint32_t id = 0;
    CircuitList circuits{};
};
struct ResetDone {  // release complete to RSC, or circuit group reset acknowledgement (GRA)
    std::uint32_t id = 0;
    CircuitList circuits{};
};
struct Block {  // (un)blocking and its acknowledgement: BLO, UBL, CGB, CGU and BLA, UBA, CGBA, CGUA
    bool done = false;
    Blocking blocking = Blocking::none;  // none: unblock
    CircuitList circuits{};
};
struct Query {  // circuit group query (CQM)
    std::uint32_t id = 0;
    CircuitNumber first = 1;
    int count = 0;
};
struct QueryResponse {  // circuit group query response (CQR)
    std::uint32_t id = 0;
    CircuitNumber first = 1;
    std::vector<CallRef> calls{};  // by circuit, from the first on; kNoCall: idle; or kTransient
};
struct Claim {  // a call that stands, as one end has it
    CallRef call = kNoCall;
    CircuitList circuits{};
    bool operator==(const Claim&) const = default;
};
struct Claims {  // the first message of a link that starts anew: all that the sender has
    std::vector<Claim> calls{};
    std::vector<std::pair<CircuitNumber, Blocking>> blocked{};  // by the sender
};

using Message = std::variant<Seize, Accept, Reject, Answer, Release, ReleaseComplete, Reset, ResetDone, Block,
                             Query, QueryResponse, Claims>;
std::string_view name_of(const Message& message);

// ---- Of the link itself ------------------------------------------------------------------------------

constexpr std::uint16_t kProtocolVersion = 1;

struct Hello {
    std::uint16_t version = kProtocolVersion;
    PointCode point = 0, far_point = 0;
    std::uint32_t group = 0;
    int circuits = 0;
    std::uint32_t incarnation = 0;      // of the sender
    std::uint32_t far_incarnation = 0;  // of the far end, as the sender last knew it; nought: not at all
    std::uint32_t received = 0;         // last number received in that life
};
struct NumberedMessage {
    std::uint32_t sequence = 0;  // from 1 on
    std::uint32_t received = 0;  // the far end's last, in order
    Message message{};
};
struct Heartbeat {
    std::uint32_t received = 0;
};
struct Bye {  // why the sender closes
    std::string reason{};
};
using Frame = std::variant<Hello, NumberedMessage, Heartbeat, Bye>;

constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // bytes, without its length
constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kMaxDescriptionBytes =
    32 * 1024;  // of a description; class and number are shorter by far
constexpr std::size_t kMaxTextBytes = 255;

std::string encode(const Frame& frame);  // with its length

// The frame in `bytes`, which are without the length. Nothing: malformed. What it yields fills the bytes
// exactly and keeps to the bounds of terms.hpp; lists of circuits rise and name none twice.
std::optional<Frame> decode(std::string_view bytes);

// Cuts the bytes of one connection into frames.
class FrameReader {
   public:
    void append(std::string_view bytes) { bytes_.append(bytes); }
    enum class Status { complete, incomplete, malformed };
    Status next(Frame& frame);

   private:
    std::string bytes_;
    std::size_t begin_ = 0;
};

}  // namespace nettlestall::trunk

// The messages of the trunk signalling and their compact binary coding. The terms follow Q.763, the coding is
// this project's own: numbers are big-endian, each list is preceded by its number of entries and each text by
// its length, in 2 bytes. Field widths below are in bytes.
//
//     frame     = length:4 kind:1 body        length counts the bytes that follow it
//     hello     = version:2 point:2 far point:2 group:4 circuits:2 incarnation:4 far incarnation:4 received:4
//     numbered  = sequence:4 received:4, then the message's own fields
//     heartbeat = received:4
//     bye       = text
//
// Pure functions and data: no socket, no clock and no group state.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "trunk/terms.hpp"

namespace nettlestall::trunk {

// ---- Messages about calls and circuits, sent as NumberedMessage ------------------------------------

// Initial address (IAM): seizes circuits for a call. The circuits are in ascending order.
struct Seize {
    CallRef call = kNoCall;
    CircuitList circuits{};
    CallData data{};
};
// Address complete (ACM): the far end has accepted the seizure.
struct Accept {
    CallRef call = kNoCall;
};
// The seizure is rejected: the end that sends this holds no circuit for it.
struct Reject {
    CallRef call = kNoCall;
    Reason reason = Reason::failed;
};
// Answer (ANM): the call is answered.
struct Answer {
    CallRef call = kNoCall;
    std::string description{};
};
// Release (REL), before or after the answer.
struct Release {
    CallRef call = kNoCall;
    Reason reason = Reason::normal;
};
// Release complete (RLC).
struct ReleaseComplete {
    CallRef call = kNoCall;
};
// Reset circuit (RSC) or circuit group reset (GRS).
struct Reset {
    std::uint32_t id = 0;
    CircuitList circuits{};
};
// Release complete in response to RSC, or circuit group reset acknowledgement (GRA).
struct ResetDone {
    std::uint32_t id = 0;
    CircuitList circuits{};
};
// Blocking and unblocking (BLO, UBL, CGB, CGU), and their acknowledgements (BLA, UBA, CGBA, CGUA).
struct Block {
    bool is_acknowledgement = false;
    Blocking blocking = Blocking::none;  // none: unblock
    CircuitList circuits{};
};
// Circuit group query (CQM) about `count` circuits.
struct Query {
    std::uint32_t id = 0;
    CircuitNumber first = 1;
    int count = 0;
};
// Circuit group query response (CQR).
struct QueryResponse {
    std::uint32_t id = 0;
    CircuitNumber first = 1;
    std::vector<CallRef> calls{};  // one per circuit, from `first` on; kNoCall: idle; or kTransient
};
// A standing call as one end knows it.
struct Claim {
    CallRef call = kNoCall;
    CircuitList circuits{};
    bool operator==(const Claim&) const = default;
};
// The first message after a link has restarted: all standing calls and blocked circuits of the sender.
struct Claims {
    std::vector<Claim> calls{};
    std::vector<std::pair<CircuitNumber, Blocking>> blocked{};  // circuits that the sender has blocked
};

using Message = std::variant<Seize, Accept, Reject, Answer, Release, ReleaseComplete, Reset, ResetDone, Block,
                             Query, QueryResponse, Claims>;
// The message's name in lower case, such as "release complete"; for logs and reports.
std::string_view name_of(const Message& message);

// ---- Frames of the link -------------------------------------------------------------------------------

constexpr std::uint16_t kProtocolVersion = 1;

// The first frame of each connection: what both ends must agree on, and where the link can be resumed.
struct Hello {
    std::uint16_t version = kProtocolVersion;
    PointCode point = 0, far_point = 0;  // of the sender; of the far end, as the sender expects it
    std::uint32_t group = 0;
    int circuits = 0;                   // in the group
    std::uint32_t incarnation = 0;      // of the sender
    std::uint32_t far_incarnation = 0;  // of the far end, as the sender last knew it; zero: unknown
    std::uint32_t received = 0;         // sequence number last received in that incarnation of the far end
};
// A message with its sequence number, which lets the link resend it after a break.
struct NumberedMessage {
    std::uint32_t sequence = 0;  // from 1 on
    std::uint32_t received = 0;  // the sequence number last received from the far end, in order
    Message message{};
};
// Shows that the sender is alive and confirms what it has received.
struct Heartbeat {
    std::uint32_t received = 0;
};
// Sent before the sender closes the connection.
struct Bye {
    std::string reason{};
};
using Frame = std::variant<Hello, NumberedMessage, Heartbeat, Bye>;

constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // without the length field
constexpr std::size_t kFrameLengthBytes = 4;
constexpr std::size_t kMaxDescriptionBytes = 32 * 1024;
constexpr std::size_t kMaxTextBytes = 255;  // of all other texts: call id, class, number, reason

// The frame's bytes, including the length field.
std::string encode(const Frame& frame);

// Decodes the bytes of one frame, without the length field; std::nullopt if they are malformed. A decoded
// frame has used all bytes and keeps to the limits of terms.hpp; its lists of circuits are strictly
// ascending.
std::optional<Frame> decode(std::string_view bytes);

// Splits the bytes of one connection into frames.
class FrameReader {
   public:
    // Adds bytes that were read from the connection.
    void append(std::string_view bytes) { bytes_.append(bytes); }
    enum class Status { complete, incomplete, malformed };
    // Extracts the next frame. `frame` is set only with Status::complete; after `malformed` the connection is
    // of no use.
    Status next(Frame& frame);

   private:
    std::string bytes_;
    std::size_t begin_ = 0;  // of the bytes that are not decoded yet
};

}  // namespace nettlestall::trunk

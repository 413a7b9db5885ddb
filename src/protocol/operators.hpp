// The operators' side: one HTTP/1.1 call in, one reply out. Knows no socket.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace nettlestall::protocol {

struct OperatorReply {
    int status = 200;  // with 405 the body is the method that is allowed
    std::string body{};
};

// What operators can ask for and order.
class OperatorRequestHandler {
   public:
    virtual bool is_ready() = 0;              // the same answer as the front's test gets
    virtual std::string metrics() const = 0;  // lines of name:value|kind
    virtual void drain() = 0;                 // further orders of the same kind change nothing
    virtual void undrain() = 0;
    // What the parts add that are on. Nothing: there is no such path.
    virtual std::optional<OperatorReply> handle_other(std::string_view method, std::string_view path,
                                                      std::string_view query) = 0;

   protected:
    ~OperatorRequestHandler() = default;
};

class OperatorSession {
   public:
    static constexpr std::size_t kMaxHeaderBytes = 8 * 1024;  // of the request line and all fields
    static constexpr std::size_t kMaxBodyBytes = 64 * 1024;   // read and passed over: no call needs one

    explicit OperatorSession(OperatorRequestHandler& events) : events_(events) {}

    std::span<char> read_buffer();
    // Takes what was read into space(). False: nothing more is wanted, the reply is there.
    bool consume(std::size_t bytes);
    const std::string& reply() const { return reply_; }

   private:
    bool read_head(std::string_view head);  // false: refused, with a reply
    bool read_field(std::string_view line);
    bool refuse(const char* status, std::string_view more = {});
    void carry_out();

    OperatorRequestHandler& events_;
    std::string bytes_, method_, target_, query_, reply_;
    std::size_t end_ = 0, body_ = 0;
    bool in_body_ = false, host_ = false, length_ = false;
};

}  // namespace nettlestall::protocol

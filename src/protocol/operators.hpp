// The operators' side: reads one HTTP/1.1 request and makes the reply to it. It does no I/O of its own.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace nettlestall::protocol {

// The reply to a request that OperatorRequestHandler::handle_other() has handled.
struct OperatorReply {
    int status = 200;    // HTTP status: 200, 400, 404, 405 or 409
    std::string body{};  // with 405 the method that is allowed
};

// What operators can query and command.
class OperatorRequestHandler {
   public:
    virtual bool is_ready() = 0;              // the same answer as a health check gets
    virtual std::string metrics() const = 0;  // all metrics, each as a line name:value|kind
    // While a drain is on, a further drain() changes nothing; the same holds for undrain().
    virtual void drain() = 0;
    virtual void undrain() = 0;
    // Handles all paths but /ready, /metrics, /drain and /undrain. Which exist depends on the parts of the
    // program that are in use. std::nullopt: there is no such path.
    virtual std::optional<OperatorReply> handle_other(std::string_view method, std::string_view path,
                                                      std::string_view query) = 0;

   protected:
    ~OperatorRequestHandler() = default;
};

// One connection of the operators: it carries one request and is closed after the reply.
class OperatorSession {
   public:
    static constexpr std::size_t kMaxHeaderBytes = 8 * 1024;  // the request line and all header fields
    static constexpr std::size_t kMaxBodyBytes = 64 * 1024;   // the body is skipped: no request needs one

    // `handler` has to outlive the session.
    explicit OperatorSession(OperatorRequestHandler& handler) : handler_(handler) {}

    // Where the next bytes of the connection are to be read into.
    std::span<char> read_buffer();
    // Handles `bytes` bytes that were read into read_buffer(). False: no more bytes are wanted and reply() is
    // set.
    bool consume(std::size_t bytes);
    // The whole reply with its header; empty as long as the request is not complete.
    const std::string& reply() const { return reply_; }

   private:
    // Both return false if the request was rejected; the reply says why.
    bool read_header(std::string_view header);
    bool read_field(std::string_view line);
    // Sets a reply with this status. `extra` is added to the reply's header fields. Returns false.
    bool reject(const char* status, std::string_view extra = {});
    // Carries out the request and sets the reply.
    void handle_request();

    OperatorRequestHandler& handler_;
    std::string bytes_, method_, path_, query_, reply_;
    std::size_t end_ = 0;              // how many bytes have come for the header
    std::size_t body_bytes_left_ = 0;  // bytes of the body that have not come yet
    bool in_body_ = false, has_host_ = false, has_length_ = false;
};

}  // namespace nettlestall::protocol

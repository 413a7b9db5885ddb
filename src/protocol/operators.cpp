#include "protocol/operators.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kReadBytes = 1024;  // buffer space for each read

// Whether the text is a token as HTTP defines it: a method or the name of a header field.
bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) ||
               std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
    });
}

// The names of header fields are case-insensitive.
bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

// Removes the next line from `rest` and returns it without its end. A line feed alone ends a line too.
std::string_view next_line(std::string_view& rest) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

// The length of the header in bytes, the empty line at its end included; 0: that line has not come yet.
std::size_t end_of_header(std::string_view text) {
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const std::string_view next = text.substr(at + 1, 2);
        if (next.substr(0, 1) == "\n") return at + 2;
        if (next == "\r\n") return at + 3;
    }
    return 0;
}

// The whole reply. `extra` holds further header fields, each with its line end.
std::string format_reply(std::string_view status, std::string_view body, std::string_view extra = {}) {
    std::string text = "HTTP/1.1 ";
    text.append(status).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\nConnection: close\r\n").append(extra);
    return text.append("\r\n").append(body);
}

}  // namespace

std::span<char> OperatorSession::read_buffer() {
    if (in_body_) end_ = 0;
    bytes_.resize(end_ + kReadBytes);
    return {bytes_.data() + end_, kReadBytes};
}

bool OperatorSession::consume(std::size_t bytes) {
    if (!reply_.empty()) return false;
    if (!in_body_) {
        end_ += bytes;
        // Empty lines before the request line are skipped.
        std::size_t skipped = 0;
        while (skipped < end_ && (bytes_[skipped] == '\r' || bytes_[skipped] == '\n')) ++skipped;
        const std::string_view received(bytes_.data() + skipped, end_ - skipped);
        const std::size_t header_bytes = end_of_header(received);
        // Checked before the header is complete: one that does not end must not be waited for.
        if (header_bytes > kMaxHeaderBytes || (header_bytes == 0 && end_ > kMaxHeaderBytes))
            return reject("431 Request Header Fields Too Large");
        if (header_bytes == 0) return true;
        if (!read_header(received.substr(0, header_bytes))) return false;
        in_body_ = true;
        bytes = received.size() - header_bytes;  // of the body
    }
    body_bytes_left_ -= std::min(body_bytes_left_, bytes);
    if (body_bytes_left_ > 0) return true;
    handle_request();
    return false;
}

bool OperatorSession::read_header(std::string_view header) {
    const std::string_view line = next_line(header);
    const auto first_space = line.find(' '), last_space = line.rfind(' ');
    if (first_space == std::string_view::npos || first_space == last_space) return reject("400 Bad Request");
    method_ = line.substr(0, first_space);
    path_ = line.substr(first_space + 1, last_space - first_space - 1);
    const std::string_view version = line.substr(last_space + 1);
    const bool is_supported = version == "HTTP/1.1" || version == "HTTP/1.0";
    if (!is_token(method_) || !path_.starts_with('/') || path_.find(' ') != std::string::npos)
        return reject("400 Bad Request");
    if (!is_supported)
        return reject(version.starts_with("HTTP/") ? "505 HTTP Version Not Supported" : "400 Bad Request");
    for (std::string_view field = next_line(header); !field.empty(); field = next_line(header))
        if (!read_field(field)) return false;
    if (!has_host_ && version == "HTTP/1.1") return reject("400 Bad Request");
    const auto path_end = std::min(path_.find('?'), path_.size());
    query_ = path_.substr(std::min(path_end + 1, path_.size()));
    path_.resize(path_end);
    return true;
}

bool OperatorSession::read_field(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return reject("400 Bad Request");
    const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (equal_ignoring_case(name, "host")) has_host_ = true;
    if (equal_ignoring_case(name, "transfer-encoding")) return reject("501 Not Implemented");
    if (!equal_ignoring_case(name, "content-length")) return true;
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (value.empty() || end != value.data() + value.size() || (has_length_ && length != body_bytes_left_))
        return reject("400 Bad Request");
    if (error != std::errc{} || length > kMaxBodyBytes) return reject("413 Content Too Large");
    has_length_ = true;
    body_bytes_left_ = length;
    return true;
}

bool OperatorSession::reject(const char* status, std::string_view extra) {
    reply_ = format_reply(status, std::string(status).append("\n"), extra);
    return false;
}

void OperatorSession::handle_request() {
    // The queries need GET, the commands POST.
    const bool is_read_only = path_ == "/ready" || path_ == "/metrics";
    if (!is_read_only && path_ != "/drain" && path_ != "/undrain") {
        const auto other = handler_.handle_other(method_, path_, query_);
        if (!other || other->status == 404) {
            other ? void(reply_ = format_reply("404 Not Found", other->body)) : void(reject("404 Not Found"));
        } else if (other->status == 405) {
            reject("405 Method Not Allowed", "Allow: " + other->body + "\r\n");
        } else {
            reply_ = format_reply(other->status == 200   ? "200 OK"
                                  : other->status == 400 ? "400 Bad Request"
                                                         : "409 Conflict",
                                  other->body);
        }
    } else if (method_ != (is_read_only ? "GET" : "POST")) {
        reject("405 Method Not Allowed", is_read_only ? "Allow: GET\r\n" : "Allow: POST\r\n");
    } else if (path_ == "/ready") {
        const bool is_ready = handler_.is_ready();
        reply_ = format_reply(is_ready ? "200 OK" : "503 Service Unavailable",
                              is_ready ? "ready\n" : "not ready\n");
    } else if (path_ == "/metrics") {
        reply_ = format_reply("200 OK", handler_.metrics());
    } else if (path_ == "/drain") {
        handler_.drain();
        reply_ = format_reply("200 OK", "draining\n");
    } else {
        handler_.undrain();
        reply_ = format_reply("200 OK", "serving\n");
    }
}

}  // namespace nettlestall::protocol

#include "protocol/operators.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace nettlestall::protocol {
namespace {

constexpr std::size_t kRead = 1024;

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) ||
               std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos;
    });
}

bool same(std::string_view a, std::string_view b) {  // names of fields, whatever their case
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

// Takes the next line off `rest`, without its end. A bare line feed ends a line too.
std::string_view next_line(std::string_view& rest) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    return line;
}

// Behind the empty line; 0: it has not come yet.
std::size_t end_of_head(std::string_view text) {
    for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        const std::string_view next = text.substr(at + 1, 2);
        if (next.substr(0, 1) == "\n") return at + 2;
        if (next == "\r\n") return at + 3;
    }
    return 0;
}

std::string reply_of(std::string_view status, std::string_view body, std::string_view more = {}) {
    std::string text = "HTTP/1.1 ";
    text.append(status).append("\r\nContent-Type: text/plain\r\nContent-Length: ");
    text.append(std::to_string(body.size())).append("\r\nConnection: close\r\n").append(more);
    return text.append("\r\n").append(body);
}

}  // namespace

std::span<char> OperatorSession::read_buffer() {
    if (in_body_) end_ = 0;
    bytes_.resize(end_ + kRead);
    return {bytes_.data() + end_, kRead};
}

bool OperatorSession::consume(std::size_t bytes) {
    if (!reply_.empty()) return false;
    if (!in_body_) {
        end_ += bytes;
        // Empty lines ahead of the request line are passed over.
        std::size_t skipped = 0;
        while (skipped < end_ && (bytes_[skipped] == '\r' || bytes_[skipped] == '\n')) ++skipped;
        const std::string_view all(bytes_.data() + skipped, end_ - skipped);
        const std::size_t head = end_of_head(all);
        // Judged by what has come: a head that does not end must not be waited for.
        if (head > kMaxHeaderBytes || (head == 0 && end_ > kMaxHeaderBytes))
            return refuse("431 Request Header Fields Too Large");
        if (head == 0) return true;
        if (!read_head(all.substr(0, head))) return false;
        in_body_ = true;
        bytes = all.size() - head;
    }
    body_ -= std::min(body_, bytes);
    if (body_ > 0) return true;
    carry_out();
    return false;
}

bool OperatorSession::read_head(std::string_view head) {
    const std::string_view line = next_line(head);
    const auto first = line.find(' '), last = line.rfind(' ');
    if (first == std::string_view::npos || first == last) return refuse("400 Bad Request");
    method_ = line.substr(0, first);
    target_ = line.substr(first + 1, last - first - 1);
    const std::string_view version = line.substr(last + 1);
    const bool known = version == "HTTP/1.1" || version == "HTTP/1.0";
    if (!is_token(method_) || !target_.starts_with('/') || target_.find(' ') != std::string::npos)
        return refuse("400 Bad Request");
    if (!known)
        return refuse(version.starts_with("HTTP/") ? "505 HTTP Version Not Supported" : "400 Bad Request");
    for (std::string_view field = next_line(head); !field.empty(); field = next_line(head))
        if (!read_field(field)) return false;
    if (!host_ && version == "HTTP/1.1") return refuse("400 Bad Request");
    const auto mark = std::min(target_.find('?'), target_.size());
    query_ = target_.substr(std::min(mark + 1, target_.size()));
    target_.resize(mark);
    return true;
}

bool OperatorSession::read_field(std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon))) return refuse("400 Bad Request");
    const std::string_view name = line.substr(0, colon), value = trimmed(line.substr(colon + 1));
    if (same(name, "host")) host_ = true;
    if (same(name, "transfer-encoding")) return refuse("501 Not Implemented");
    if (!same(name, "content-length")) return true;
    std::size_t length = 0;
    const auto [end, wrong] = std::from_chars(value.data(), value.data() + value.size(), length);
    if (value.empty() || end != value.data() + value.size() || (length_ && length != body_))
        return refuse("400 Bad Request");
    if (wrong != std::errc{} || length > kMaxBodyBytes) return refuse("413 Content Too Large");
    length_ = true;
    body_ = length;
    return true;
}

bool OperatorSession::refuse(const char* status, std::string_view more) {
    reply_ = reply_of(status, std::string(status).append("\n"), more);
    return false;
}

void OperatorSession::carry_out() {
    const bool reads = target_ == "/ready" || target_ == "/metrics";
    if (!reads && target_ != "/drain" && target_ != "/undrain") {
        const auto other = events_.handle_other(method_, target_, query_);
        if (!other || other->status == 404) {
            other ? void(reply_ = reply_of("404 Not Found", other->body)) : void(refuse("404 Not Found"));
        } else if (other->status == 405) {
            refuse("405 Method Not Allowed", "Allow: " + other->body + "\r\n");
        } else {
            reply_ = reply_of(other->status == 200   ? "200 OK"
                              : other->status == 400 ? "400 Bad Request"
                                                     : "409 Conflict",
                              other->body);
        }
    } else if (method_ != (reads ? "GET" : "POST")) {
        refuse("405 Method Not Allowed", reads ? "Allow: GET\r\n" : "Allow: POST\r\n");
    } else if (target_ == "/ready") {
        const bool ready = events_.is_ready();
        reply_ = reply_of(ready ? "200 OK" : "503 Service Unavailable", ready ? "ready\n" : "not ready\n");
    } else if (target_ == "/metrics") {
        reply_ = reply_of("200 OK", events_.metrics());
    } else if (target_ == "/drain") {
        events_.drain();
        reply_ = reply_of("200 OK", "draining\n");
    } else {
        events_.undrain();
        reply_ = reply_of("200 OK", "serving\n");
    }
}

}  // namespace nettlestall::protocol

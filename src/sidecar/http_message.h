#pragma once
// HTTP/1.1 messages: types, incremental reading (Boost.Beast's parser) and serialization.

#include "endive/base.h"

#include <boost/beast/http/basic_parser.hpp>

namespace endive::sidecar {

struct header_field {
    std::string name;
    std::string value;
    friend auto operator<=>(const header_field&, const header_field&) = default;
};
using header_list = std::vector<header_field>;

/// Value of the first field with this name (case-insensitive); empty when there is none.
[[nodiscard]] std::string_view find_header(const header_list& headers, std::string_view name);
[[nodiscard]] bool has_header(const header_list& headers, std::string_view name);
/// The end-to-end fields: all except those that apply to a single connection or to message framing.
[[nodiscard]] header_list end_to_end_headers(const header_list& headers);

struct http_message {
    std::string method;  ///< requests only
    std::string target;  ///< requests only
    unsigned status = 0; ///< responses only
    header_list headers;
    std::string body;
    bool keep_alive = true;
    bool expects_continue = false;
};

/// True for the status of an interim response, which the final one follows.
[[nodiscard]] constexpr bool is_interim_status(unsigned status) {
    return status >= 100 && status < 200;
}
/// True for a status that a final response may have.
[[nodiscard]] constexpr bool is_final_status(unsigned status) {
    return status >= 200 && status < 600;
}

/// Serializes the head of a request. It has a Content-Length when there is a body or the method implies one.
[[nodiscard]] std::string serialize_request_head(const http_message& request);
/// Serializes the head of a response. `close` adds `Connection: close`.
[[nodiscard]] std::string serialize_response_head(const http_message& response, bool close);

struct read_limits {
    std::uint64_t header_bytes = 64UL * 1024;
    std::uint64_t body_bytes = 64UL * 1024 * 1024;
};

enum class read_status : std::uint8_t { need_more, complete, malformed, header_too_large, body_too_large };

/// Incremental reader of one message. Precondition: `feed` is not called again after it returned a status
/// other than `need_more`.
template <bool is_request>
class message_reader final : public boost::beast::http::basic_parser<is_request> {
public:
    message_reader(const read_limits& limits, bool no_body)
        : max_header_bytes_{limits.header_bytes}, max_body_bytes_{limits.body_bytes} {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        this->body_limit(limits.body_bytes);
        this->skip(no_body);
    }
    /// Consumes bytes from the front of `input`.
    read_status feed(std::string& input);
    /// Signals that the connection ended cleanly; true when this completes the message.
    bool feed_end();
    [[nodiscard]] http_message& message() { return message_; }
    [[nodiscard]] bool started() const { return this->got_some(); }
    [[nodiscard]] bool has_header() const { return this->is_header_done(); }

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;
    using verb = boost::beast::http::verb;
    using field = boost::beast::http::field;
    void on_request_impl(verb method, string_view method_text, string_view target, int version,
                         error_code& code) override;
    void on_response_impl(int status, string_view reason, int version, error_code& code) override;
    void on_field_impl(field name, string_view name_text, string_view value, error_code& code) override;
    void on_header_impl(error_code& code) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& code) override;
    std::size_t on_body_impl(string_view bytes, error_code& code) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& code) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, string_view bytes, error_code& code) override;
    void on_finish_impl(error_code& code) override;

    http_message message_;
    std::uint64_t max_header_bytes_;
    std::uint64_t max_body_bytes_;
    std::uint64_t header_bytes_ = 0; ///< consumed so far
    bool header_done_ = false;
};

using request_reader = message_reader<true>;
using response_reader = message_reader<false>;

} // namespace endive::sidecar

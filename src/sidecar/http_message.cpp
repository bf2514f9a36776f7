#include "sidecar/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace endive::sidecar {
namespace {

namespace http = boost::beast::http;

bool is_connection_field(std::string_view name) {
    static constexpr std::string_view names[] = {
        "connection",         "keep-alive", "proxy-connection", "te",     "trailer",
        "transfer-encoding",  "upgrade",    "content-length",   "expect", "proxy-authenticate",
        "proxy-authorization"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view entry) { return equal_ignoring_case(entry, name); });
}

void append_field(std::string& out, std::string_view name, std::string_view value) {
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_fields(std::string& out, const header_list& headers) {
    for (const auto& entry : headers) {
        append_field(out, entry.name, entry.value);
    }
}

/// Maximum memory reserved for a body from its Content-Length; larger bodies grow as data arrives.
constexpr std::uint64_t max_reserved_body_bytes = 1024UL * 1024;

} // namespace

std::string_view find_header(const header_list& headers, std::string_view name) {
    for (const auto& entry : headers) {
        if (equal_ignoring_case(entry.name, name)) {
            return entry.value;
        }
    }
    return {};
}

bool has_header(const header_list& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(),
                       [&](const header_field& entry) { return equal_ignoring_case(entry.name, name); });
}

header_list end_to_end_headers(const header_list& headers) {
    const auto is_listed_in_connection = [&](std::string_view name) { // in a Connection field
        return std::any_of(headers.begin(), headers.end(), [&](const header_field& entry) {
            return equal_ignoring_case(entry.name, "connection") && is_listed(entry.value, name);
        });
    };
    header_list result;
    result.reserve(headers.size());
    for (const auto& entry : headers) {
        if (!is_connection_field(entry.name) && !is_listed_in_connection(entry.name)) {
            result.push_back(entry);
        }
    }
    return result;
}

std::string serialize_request_head(const http_message& request) {
    std::string out;
    out.reserve(512);
    out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    append_fields(out, request.headers);
    const bool body_expected =
        request.method != "GET" && request.method != "HEAD" && request.method != "DELETE";
    if (!request.body.empty() || body_expected) {
        append_field(out, "Content-Length", std::to_string(request.body.size()));
    }
    return out.append("\r\n");
}

std::string serialize_response_head(const http_message& response, bool close) {
    std::string out;
    out.reserve(512);
    const auto phrase = http::obsolete_reason(http::int_to_status(response.status));
    out.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    out.append(phrase.data(), phrase.size()).append("\r\n");
    append_fields(out, response.headers);
    const bool no_length = response.status == 204 || response.status == 304 || response.status < 200;
    if (!no_length) {
        append_field(out, "Content-Length", std::to_string(response.body.size()));
    }
    if (close) {
        append_field(out, "Connection", "close");
    }
    return out.append("\r\n");
}

template <bool is_request>
read_status message_reader<is_request>::feed(std::string& input) {
    std::size_t offset = 0;
    boost::beast::error_code code;
    while (!this->is_done()) {
        const auto rest = boost::asio::buffer(input.data() + offset, input.size() - offset);
        if (rest.size() == 0) {
            break;
        }
        code = {};
        const auto consumed = this->put(rest, code);
        offset += consumed;
        if (code || consumed == 0) {
            break;
        }
    }
    input.erase(0, offset);
    if (this->is_done()) {
        message_.keep_alive = this->keep_alive();
        return read_status::complete;
    }
    if (!code || code == http::error::need_more) {
        // Beast applies its limit to the fields of each call, not to their sum, and has none for chunk
        // headers and trailers, which it leaves in the input until they are complete.
        if (!this->is_header_done()) {
            header_bytes_ += offset;
        }
        const auto used = this->is_header_done() ? 0 : header_bytes_;
        if (used + input.size() > max_header_bytes_) {
            return read_status::header_too_large;
        }
        return read_status::need_more;
    }
    if (code == http::error::header_limit) {
        return read_status::header_too_large;
    }
    return code == http::error::body_limit ? read_status::body_too_large : read_status::malformed;
}

template <bool is_request>
bool message_reader<is_request>::feed_end() {
    if (!this->got_some() || !this->need_eof()) {
        return false;
    }
    boost::beast::error_code code;
    this->put_eof(code);
    message_.keep_alive = false;
    return !code && this->is_done();
}

template <bool is_request>
void message_reader<is_request>::on_request_impl(verb /*method*/, string_view method_text, string_view target,
                                                 int /*version*/, error_code& code) {
    message_.method.assign(method_text.data(), method_text.size());
    message_.target.assign(target.data(), target.size());
    code = {};
}

template <bool is_request>
void message_reader<is_request>::on_response_impl(int status, string_view /*reason*/, int /*version*/,
                                                  error_code& code) {
    message_.status = static_cast<unsigned>(status);
    code = {};
}

template <bool is_request>
void message_reader<is_request>::on_field_impl(field name, string_view name_text, string_view value,
                                               error_code& code) {
    code = {};
    if (header_done_) {
        return; // trailers are not forwarded
    }
    if (name == field::expect) {
        message_.expects_continue = true;
    }
    message_.headers.push_back({{name_text.data(), name_text.size()}, {value.data(), value.size()}});
}

template <bool is_request>
void message_reader<is_request>::on_header_impl(error_code& code) {
    header_done_ = true;
    code = {};
}

template <bool is_request>
void message_reader<is_request>::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                                   error_code& code) {
    code = {};
    if (length) {
        // Beast checks the length of a response too, but loses the error when body bytes follow the header.
        if (*length > max_body_bytes_) {
            code = http::error::body_limit;
            return;
        }
        message_.body.reserve(std::min(*length, max_reserved_body_bytes));
    }
}

template <bool is_request>
std::size_t message_reader<is_request>::on_body_impl(string_view bytes, error_code& code) {
    message_.body.append(bytes.data(), bytes.size());
    code = {};
    return bytes.size();
}

template <bool is_request>
void message_reader<is_request>::on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/,
                                                      error_code& code) {
    code = {};
}

template <bool is_request>
std::size_t message_reader<is_request>::on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes,
                                                           error_code& code) {
    message_.body.append(bytes.data(), bytes.size());
    code = {};
    return bytes.size();
}

template <bool is_request>
void message_reader<is_request>::on_finish_impl(error_code& code) {
    code = {};
}

template class message_reader<true>;
template class message_reader<false>;

} // namespace endive::sidecar

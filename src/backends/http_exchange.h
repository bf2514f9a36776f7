#pragma once
/// One attempt over a pooled connection.

#include "backends/connection.h"

#include <functional>

namespace endive::backends {

/// Runs one transfer and hands the connection back when it may be used again.
class http_exchange final : public exchange {
public:
    using release_function = std::function<void(std::unique_ptr<connection>, bool reusable)>;

    http_exchange(std::unique_ptr<connection> link, const clock_source& clock, time_point deadline,
                  const pool_settings& settings, release_function release);
    ~http_exchange() override;
    void begin(const std::string& address, const backend_request& request);

    bool step() override;
    void wait(duration timeout, exchange* other, int watched_socket) override;
    [[nodiscard]] std::string take_body() override;
    [[nodiscard]] std::size_t buffered() const override { return buffer_.body.size(); }
    [[nodiscard]] bool has_head() const override { return buffer_.head_complete; }
    [[nodiscard]] const response_head& head() const override { return buffer_.head; }
    [[nodiscard]] calls::attempt_result result() const override { return result_; }
    void cancel() override;

private:
    void complete(CURLcode code);
    [[nodiscard]] calls::transport_result transport_of(CURLcode code) const;
    [[nodiscard]] calls::transport_result closed_result() const;
    void release(bool reusable);

    std::unique_ptr<connection> link_;
    const clock_source& clock_;
    time_point deadline_;
    milliseconds connect_timeout_;
    release_function release_;
    response_buffer buffer_;
    calls::attempt_result result_;
    std::size_t request_body_bytes_ = 0;
    bool done_ = false;
};

} // namespace endive::backends

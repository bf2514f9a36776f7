#include "backends/relay_exchange.h"

#include <utility>

namespace endive::backends {
namespace {

constexpr milliseconds relay_wait{100};

class relay_exchange final : public exchange {
public:
    relay_exchange(relay_transport& link, std::string peer, relay_request request)
        : link_{link}, peer_{std::move(peer)}, request_{std::move(request)} {}

    bool step() override {
        if (!done_) {
            done_ = true;
            response_ = link_.send(peer_, request_);
            head_.status = response_.result.status;
            head_.headers = response_.headers;
            head_.framing.content_length = response_.body.size();
        }
        return true;
    }
    void wait(duration /*timeout*/, exchange* /*other*/, int /*watched_socket*/) override {}
    [[nodiscard]] std::string take_body() override { return std::exchange(response_.body, {}); }
    [[nodiscard]] std::size_t buffered() const override { return response_.body.size(); }
    [[nodiscard]] bool has_head() const override { return done_ && head_.status != 0; }
    [[nodiscard]] const response_head& head() const override { return head_; }
    [[nodiscard]] calls::attempt_result result() const override { return response_.result; }
    void cancel() override {
        if (!done_) {
            done_ = true;
            response_.result.transport = calls::transport_result::cancelled;
        }
    }

private:
    relay_transport& link_;
    std::string peer_;
    relay_request request_;
    relay_response response_;
    response_head head_;
    bool done_ = false;
};

} // namespace

std::unique_ptr<exchange> relay_sender::start(const model::endpoint_info& endpoint,
                                              const backend_request& request) {
    relay_request relayed;
    relayed.endpoint = endpoint.address;
    relayed.method = request.method;
    relayed.target = request.target;
    relayed.headers = request.headers;
    relayed.body = request.body;
    relayed.idempotent = request.idempotent;
    relayed.timeout = std::chrono::duration_cast<milliseconds>(request.deadline - clock_.now());
    return std::make_unique<relay_exchange>(link_, endpoint.relay, std::move(relayed));
}

relay_receiver::relay_receiver(transport& pool, const clock_source& clock, counter_set& counters)
    : pool_{pool}, clock_{clock}, counters_{counters} {}

void relay_receiver::set_endpoints(std::span<const model::endpoint_info> endpoints) {
    const std::scoped_lock lock{mutex_};
    for (auto& [address, known] : targets_) {
        known.info.state = model::endpoint_state::leaving;
    }
    for (const auto& info : endpoints) {
        targets_[info.address].info = info;
    }
    std::erase_if(targets_, [](const auto& item) {
        return item.second.info.state == model::endpoint_state::leaving && item.second.in_flight == 0;
    });
}

std::optional<model::endpoint_info> relay_receiver::take_slot(const std::string& address) {
    const std::scoped_lock lock{mutex_};
    const auto found = targets_.find(address);
    if (found == targets_.end()) {
        return std::nullopt;
    }
    auto& known = found->second;
    if (known.info.state != model::endpoint_state::serving || known.in_flight >= known.info.slots) {
        return std::nullopt;
    }
    ++known.in_flight;
    return known.info;
}

void relay_receiver::release_slot(const std::string& address) {
    const std::scoped_lock lock{mutex_};
    --targets_.at(address).in_flight;
}

relay_response relay_receiver::handle(const relay_request& request) {
    const auto endpoint = take_slot(request.endpoint);
    if (!endpoint) {
        counters_.add("relay.refused_no_slot");
        relay_response refused;
        refused.result.status = 503;
        refused.result.reports_not_run = true;
        refused.headers.push_back({"endive-outcome", "not-run"});
        return refused;
    }
    backend_request forwarded;
    forwarded.method = request.method;
    forwarded.target = request.target;
    forwarded.headers = request.headers;
    forwarded.body = request.body;
    forwarded.idempotent = request.idempotent;
    forwarded.deadline = clock_.now() + request.timeout;
    relay_response response;
    {
        const auto attempt = pool_.start(*endpoint, forwarded);
        while (!attempt->step()) {
            response.body += attempt->take_body();
            if (response.body.size() > config::max_body_bytes) {
                attempt->cancel();
                break;
            }
            attempt->wait(relay_wait, nullptr, -1);
        }
        response.body += attempt->take_body();
        response.result = attempt->result();
        response.headers = attempt->head().headers;
    }
    release_slot(request.endpoint);
    counters_.add("relay.handled");
    return response;
}

} // namespace endive::backends

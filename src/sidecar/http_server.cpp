#include "sidecar/http_session.h"

#include "sidecar/events.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Fraction of a bound to which undelivered bytes are reduced when they exceed it, so that not every response
/// needs a decision.
constexpr std::size_t relief_divisor = 8;
/// Share of the connections that are closed at once for new ones.
constexpr std::size_t room_divisor = 32;
/// A caller that has read nothing for this long is closed when the process is short of memory.
constexpr duration stalled_time = milliseconds{200};
/// Interval between searches for connections to close when there was none.
constexpr duration room_search_interval = milliseconds{50};

} // namespace

void exchange::respond(http_message response) {
    if (finished_) {
        return;
    }
    finished_ = true;
    on_abandoned_ = nullptr;
    if (const auto session = session_.lock()) {
        session->respond(this, std::move(response));
    }
}

void exchange::abandon() {
    if (finished_) {
        return;
    }
    finished_ = true;
    if (const auto handler = std::exchange(on_abandoned_, nullptr)) {
        handler();
    }
}

http_server::http_server(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                         exchange_handler handler)
    : clock_{clock}, handler_{std::move(handler)}, listener_{loop, address,
                                                             [this](std::shared_ptr<stream> connection) {
                                                                 add_session(std::move(connection));
                                                             }} {}

void http_server::set_bounds(const client_bounds& bounds, process_memory process, counter_set* counters) {
    bounds_ = bounds;
    process_ = std::move(process);
    undelivered_ = std::make_shared<byte_account>(process_.account);
    incomplete_ = std::make_shared<byte_account>(process_.account);
    counters_ = counters;
}

void http_server::add_session(std::shared_ptr<stream> connection) {
    ++accepted_connections_;
    const auto number = connection->remote_address();
    auto& entry = addresses_[number];
    if (!entry) {
        entry = std::make_shared<client_address>(number, undelivered_);
    }
    const auto address = entry;
    ++address->connections;
    if (!make_room(*address)) {
        release(*address);
        refuse(*connection, number);
        return;
    }
    connection->count_received(received_total_);
    const auto session = std::make_shared<http_session>(*this, std::move(connection), address);
    sessions_.insert(session);
    session->start();
}

void http_server::remove_session(const std::shared_ptr<http_session>& session, client_address& address) {
    if (sessions_.erase(session) > 0) {
        release(address);
    }
}

void http_server::release(client_address& address) {
    if (--address.connections == 0) {
        addresses_.erase(address.address);
    }
}

/// True when there is room for a new connection, which the address already counts. Closes idle ones when
/// there is none.
bool http_server::make_room(const client_address& address) {
    const auto has_room = [&] {
        return sessions_.size() < bounds_.connections &&
               address.connections <= bounds_.connections_per_address;
    };
    const auto now = clock_.now();
    if (has_room() || now < next_room_search_) {
        return has_room();
    }
    const auto [sessions, facts] = all_facts(now);
    const bool address_full = address.connections > bounds_.connections_per_address;
    const auto count = std::max<std::size_t>(1, bounds_.connections / room_divisor);
    const auto chosen =
        choose_idle(facts, count, address_full ? std::optional{address.address} : std::nullopt);
    for (const auto index : chosen) {
        // A request that arrived in time may not have been read yet on a busy loop.
        if (facts[index].undelivered_bytes > 0 || !sessions[index]->has_unread()) {
            close_client(sessions[index], facts[index], "connections");
        }
    }
    if (!has_room()) {
        next_room_search_ = now + room_search_interval;
    }
    return has_room();
}

void http_server::refuse(stream& connection, std::uint32_t address) {
    count("clients_refused");
    log(event::client_refused, {{"client", boost::asio::ip::make_address_v4(address).to_string()},
                                {"connections", sessions_.size()}});
    connection.close();
}

std::pair<std::vector<std::shared_ptr<http_session>>, std::vector<client_facts>>
http_server::all_facts(time_point now) const {
    std::vector<std::shared_ptr<http_session>> sessions{sessions_.begin(), sessions_.end()};
    std::vector<client_facts> facts;
    facts.reserve(sessions.size());
    for (const auto& session : sessions) {
        facts.push_back(session->facts(now));
    }
    return {std::move(sessions), std::move(facts)};
}

void http_server::close_client(const std::shared_ptr<http_session>& session, const client_facts& facts,
                               std::string_view reason) {
    count("clients_closed_" + std::string{reason});
    log(event::client_closed,
        {{"client", boost::asio::ip::make_address_v4(facts.address).to_string()},
         {"reason", reason},
         {"undelivered_bytes", facts.undelivered_bytes},
         {"incomplete_bytes", facts.incomplete_bytes},
         {"undelivered_ms", std::chrono::duration_cast<milliseconds>(facts.undelivered_for).count()},
         {"silent_ms", std::chrono::duration_cast<milliseconds>(facts.silent_for).count()},
         {"connections", sessions_.size()}});
    session->drop(facts.undelivered_bytes > 0);
}

/// Closes the slowest readers so that the undelivered responses fall to `target`.
void http_server::close_slow_readers(std::size_t target, std::optional<std::uint32_t> address,
                                     duration unread_for) {
    const auto [sessions, facts] = all_facts(clock_.now());
    for (const auto index : choose_slow_readers(facts, target, address, unread_for)) {
        close_client(sessions[index], facts[index], "slow_reader");
    }
}

void http_server::limit_undelivered() {
    std::vector<std::shared_ptr<client_address>> addresses;
    for (const auto& [number, entry] : addresses_) {
        addresses.push_back(entry);
    }
    for (const auto& entry : addresses) {
        limit_undelivered(*entry);
    }
}

/// Closes the slowest readers when the undelivered responses of the address, of all or of the process exceed
/// their bound.
void http_server::limit_undelivered(const client_address& address) {
    const auto lowered = [](std::size_t bound) { return bound - bound / relief_divisor; };
    if (address.undelivered->total() > bounds_.undelivered_per_address) {
        close_slow_readers(lowered(bounds_.undelivered_per_address), address.address);
    }
    if (undelivered_->total() > bounds_.undelivered) {
        close_slow_readers(lowered(bounds_.undelivered));
    }
    if (process_.is_full()) {
        const auto excess = process_.account->total() - lowered(process_.bound);
        close_slow_readers(undelivered_->total() - std::min(undelivered_->total(), excess), std::nullopt,
                           stalled_time);
    }
}

void http_server::count(const std::string& name) {
    if (counters_ != nullptr) {
        counters_->add(name);
    }
}

bool http_server::is_short() const {
    return undelivered_->total() > bounds_.undelivered / 2 || process_.is_short();
}

void http_server::start_draining() {
    draining_ = true;
}

void http_server::stop_reading() {
    if (!std::exchange(reading_, false)) {
        return;
    }
    listener_.close();
    for (const auto& session : sessions_) {
        session->stop_reading();
    }
}

void http_server::sweep(time_point now) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        session->sweep(now);
    }
    limit_incomplete();
    limit_undelivered();
}

/// Rejects the largest incomplete requests when all together, or all buffers of the process, exceed their
/// bound.
void http_server::limit_incomplete() {
    while (!sessions_.empty() && (incomplete_->total() > max_buffered_bytes_ || process_.is_full())) {
        const auto largest =
            *std::max_element(sessions_.begin(), sessions_.end(), [](const auto& a, const auto& b) {
                return a->incomplete_bytes() < b->incomplete_bytes();
            });
        const auto facts = largest->facts(clock_.now());
        if (facts.incomplete_bytes <= max_small_message_bytes) {
            return;
        }
        count("clients_closed_incomplete_request");
        log(event::client_closed, {{"client", boost::asio::ip::make_address_v4(facts.address).to_string()},
                                   {"reason", "incomplete_request"},
                                   {"undelivered_bytes", facts.undelivered_bytes},
                                   {"incomplete_bytes", facts.incomplete_bytes},
                                   {"connections", sessions_.size()}});
        largest->reject_incomplete();
    }
}

std::size_t http_server::open_exchanges() const {
    std::size_t count = 0;
    for (const auto& session : sessions_) {
        count += session->open_exchanges();
    }
    return count;
}

std::size_t http_server::undelivered_sessions() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const std::shared_ptr<http_session>& session) {
            return session->is_undelivered();
        }));
}

http_message own_response(unsigned status, std::string body) {
    http_message response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::move(body);
    return response;
}

} // namespace endive::sidecar

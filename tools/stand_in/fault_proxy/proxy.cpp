#include "proxy.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stand_in {
namespace {

constexpr int index_of(direction dir) {
    return dir == direction::to_target ? 0 : 1;
}

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t port_of(int socket) {
    sockaddr_in address{};
    socklen_t length = sizeof address;
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    return ntohs(address.sin_port);
}

int listen_on(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket, SOMAXCONN) != 0) {
        ::close(socket);
        throw endive::error{endive::result_code::settings_port_unavailable,
                            "cannot listen on port " + std::to_string(port), "pairs"};
    }
    return socket;
}

/// Closes the connection with a reset instead of a normal end.
void close_with_reset(int& socket) {
    if (socket < 0) {
        return;
    }
    const linger no_linger{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    ::close(socket);
    socket = -1;
}

void close_socket(int& socket) {
    if (socket >= 0) {
        ::close(socket);
        socket = -1;
    }
}

/// The kernel keeps a closed socket open while the thread polls it; the shutdown refuses new connections
/// immediately.
void stop_listening(int& socket) {
    ::shutdown(socket, SHUT_RDWR);
    close_socket(socket);
}

void disable_nagle(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/// Starts a non-blocking connect; returns a negative value when it failed immediately.
int connect_to(const endive::socket_address& target) {
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto address = loopback(target.port);
    ::inet_pton(AF_INET, target.host.c_str(), &address.sin_addr);
    if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 &&
        errno != EINPROGRESS) {
        close_socket(socket);
        return -1;
    }
    disable_nagle(socket);
    return socket;
}

void update(direction_faults& faults, const direction_change& change) {
    faults.delay = change.delay.value_or(faults.delay);
    faults.bytes_per_second = change.bytes_per_second.value_or(faults.bytes_per_second);
    faults.hold = change.hold.value_or(faults.hold);
    faults.cut_after_bytes = change.cut_after_bytes.value_or(faults.cut_after_bytes);
}

} // namespace

proxy::proxy() : wake_event_{::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)} {
    thread_ = std::thread{[this] { run(); }};
}

proxy::~proxy() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    wake();
    thread_.join();
    for (auto& [id, link] : connections_) {
        close_socket(link.client);
        close_socket(link.target);
    }
    for (auto& [name, entry] : pairs_) {
        close_socket(entry.listener);
    }
    ::close(wake_event_);
}

void proxy::wake() const {
    const std::uint64_t one = 1;
    (void)!::write(wake_event_, &one, sizeof one);
}

std::uint16_t proxy::set_pair(const std::string& name, std::uint16_t port,
                              const endive::socket_address& target) {
    const std::lock_guard lock{mutex_};
    auto found = pairs_.find(name);
    if (found == pairs_.end()) {
        const int listener = listen_on(port);
        found = pairs_.try_emplace(name).first;
        found->second.listener = listener;
        found->second.port = port_of(listener);
    }
    found->second.target = target;
    wake();
    return found->second.port;
}

void proxy::apply(connection& link, direction dir, const direction_change& change) {
    if (change.silence) {
        link.pipes[index_of(dir)].silence();
    }
    if (!change.cut) {
        return;
    }
    const bool towards_client = dir == direction::to_client;
    close_with_reset(towards_client ? link.client : link.target);
    // The other end is not notified, so both directions become silent.
    for (auto& stream : link.pipes) {
        stream.silence();
    }
    link.pipes[index_of(towards_client ? direction::to_target : direction::to_client)].note_source_ended();
}

void proxy::change(const proxy_change& change) {
    const std::lock_guard lock{mutex_};
    if (!change.pair.empty() && !pairs_.contains(change.pair)) {
        throw endive::error{endive::result_code::usage, "unknown pair " + change.pair, change.pair};
    }
    if (change.connection && !connections_.contains(*change.connection)) {
        throw endive::error{endive::result_code::usage,
                            "unknown connection " + std::to_string(*change.connection)};
    }
    for (auto& [name, entry] : pairs_) {
        if (change.connection || (!change.pair.empty() && change.pair != name)) {
            continue;
        }
        update(entry.faults[0], change.to_target);
        update(entry.faults[1], change.to_client);
        if (change.refuse_new && *change.refuse_new) {
            stop_listening(entry.listener);
        } else if (change.refuse_new && entry.listener < 0) {
            entry.listener = listen_on(entry.port);
        }
    }
    for (auto& [id, link] : connections_) {
        const bool pair_matches = change.pair.empty() || change.pair == link.pair_name;
        if (!pair_matches || (change.connection && *change.connection != id)) {
            continue;
        }
        if (change.connection) {
            update(link.faults[0], change.to_target);
            update(link.faults[1], change.to_client);
        }
        apply(link, direction::to_target, change.to_target);
        apply(link, direction::to_client, change.to_client);
    }
    wake();
}

endive::json proxy::state() const {
    const std::lock_guard lock{mutex_};
    endive::json pairs = endive::json::object();
    for (const auto& [name, entry] : pairs_) {
        pairs[name] = {{"port", entry.port},
                       {"target", to_string(entry.target)},
                       {"accepted", entry.accepted},
                       {"refuse_new", entry.listener < 0}};
    }
    endive::json links = endive::json::array();
    for (const auto& [id, link] : connections_) {
        links.push_back({{"id", id},
                         {"pair", link.pair_name},
                         {"to_target_bytes", link.pipes[0].forwarded_bytes()},
                         {"to_client_bytes", link.pipes[1].forwarded_bytes()},
                         {"silent", link.pipes[0].silent() || link.pipes[1].silent()}});
    }
    return {{"pairs", pairs}, {"connections", links}};
}

direction_faults proxy::faults_of(const connection& link, direction dir) const {
    return combine(pairs_.at(link.pair_name).faults[index_of(dir)], link.faults[index_of(dir)]);
}

void proxy::accept_from(const std::string& name) {
    auto& entry = pairs_.at(name);
    int client = ::accept4(entry.listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    ++entry.accepted;
    disable_nagle(client);
    const int target = connect_to(entry.target);
    if (target < 0) {
        close_with_reset(client);
        return;
    }
    auto& link = connections_[++last_id_];
    link.id = last_id_;
    link.pair_name = name;
    link.client = client;
    link.target = target;
    link.pipes[index_of(direction::to_target)].connect(client, target);
    link.pipes[index_of(direction::to_client)].connect(target, client);
}

void proxy::reset(connection& link) {
    close_with_reset(link.client);
    close_with_reset(link.target);
}

void proxy::fill_poll_list() {
    poll_list_.assign(1, {.fd = wake_event_, .events = POLLIN, .revents = 0});
    poll_entries_.assign(1, {});
    for (const auto& [name, entry] : pairs_) {
        if (entry.listener >= 0) {
            poll_list_.push_back({.fd = entry.listener, .events = POLLIN, .revents = 0});
            poll_entries_.push_back({name, 0, false});
        }
    }
    for (const auto& [id, link] : connections_) {
        for (const bool is_client : {true, false}) {
            const auto& outgoing = link.pipes[is_client ? 0 : 1];
            const auto& incoming = link.pipes[is_client ? 1 : 0];
            // poll would report a closed end repeatedly, although nothing remains to be done for it.
            const bool done =
                outgoing.source_ended() && (outgoing.silent() || incoming.silent() || incoming.finished());
            const auto reading = outgoing.silent() ? POLLRDHUP : (outgoing.wants_read() ? POLLIN : 0);
            const auto events = static_cast<short>(reading | (incoming.wants_write() ? POLLOUT : 0));
            const int socket = is_client ? link.client : link.target;
            poll_list_.push_back({.fd = done ? -1 : socket, .events = events, .revents = 0});
            poll_entries_.push_back({{}, id, is_client});
        }
    }
}

int proxy::poll_timeout(endive::time_point now) const {
    std::optional<endive::time_point> next;
    for (const auto& [id, link] : connections_) {
        for (const auto dir : {direction::to_target, direction::to_client}) {
            const auto due = link.pipes[index_of(dir)].next_due(faults_of(link, dir));
            if (due && (!next || *due < *next)) {
                next = due;
            }
        }
    }
    if (!next) {
        return -1;
    }
    const auto left = std::chrono::ceil<endive::milliseconds>(*next - now);
    return static_cast<int>(std::max<endive::milliseconds::rep>(0, left.count()));
}

void proxy::handle_socket(connection& link, bool is_client, short events, endive::time_point now) {
    const auto dir = is_client ? direction::to_target : direction::to_client;
    auto& outgoing = link.pipes[index_of(dir)];
    if (outgoing.silent()) {
        if ((events & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
            outgoing.note_source_ended();
        }
        return;
    }
    const bool readable = (events & (POLLIN | POLLHUP | POLLERR)) != 0;
    if (readable && !outgoing.source_ended()) {
        outgoing.read_some(now, faults_of(link, dir));
    } else if ((events & (POLLHUP | POLLERR)) != 0) {
        reset(link);
    }
}

void proxy::handle_events(endive::time_point now) {
    std::uint64_t ignored = 0;
    (void)!::read(wake_event_, &ignored, sizeof ignored);
    for (std::size_t at = 1; at < poll_list_.size(); ++at) {
        if (poll_list_[at].revents == 0) {
            continue;
        }
        const auto& entry = poll_entries_[at];
        if (entry.connection == 0) {
            accept_from(entry.pair_name);
            continue;
        }
        auto& link = connections_.at(entry.connection);
        // A call of `change` may have closed the socket while the thread polled.
        if (link.client >= 0 || link.target >= 0) {
            handle_socket(link, entry.is_client, poll_list_[at].revents, now);
        }
    }
}

void proxy::write_all(endive::time_point now) {
    for (auto& [id, link] : connections_) {
        for (const auto dir : {direction::to_target, direction::to_client}) {
            auto& stream = link.pipes[index_of(dir)];
            if (link.client >= 0 && link.target >= 0 &&
                stream.write_some(now, faults_of(link, dir)) == pipe::result::reset) {
                reset(link);
            }
        }
    }
}

void proxy::remove_closed() {
    for (auto at = connections_.begin(); at != connections_.end();) {
        auto& link = at->second;
        const bool closed = link.client < 0 && link.target < 0;
        if (!closed && !(link.pipes[0].finished() && link.pipes[1].finished())) {
            ++at;
            continue;
        }
        close_socket(link.client);
        close_socket(link.target);
        at = connections_.erase(at);
    }
}

void proxy::run() {
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        fill_poll_list();
        const int timeout = poll_timeout(std::chrono::steady_clock::now());
        lock.unlock();
        ::poll(poll_list_.data(), poll_list_.size(), timeout);
        lock.lock();
        const auto now = std::chrono::steady_clock::now();
        handle_events(now);
        write_all(now);
        remove_closed();
    }
}

} // namespace stand_in

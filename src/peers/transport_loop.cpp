#include "peers/transport_loop.h"

#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::peers {
namespace {

using namespace std::chrono_literals;

constexpr int listen_backlog = 1024;
constexpr auto check_interval = 100ms;
constexpr int max_events = 128;
// A hello takes less than 100 bytes; a peer that sends more than this without one is not a daemon.
constexpr std::size_t max_bytes_before_hello = 4096;
// Two links that came up within this time are taken to result from both sides dialing at once.
constexpr auto simultaneous_dial_window = 3s;

time_point steady_now() {
    return std::chrono::steady_clock::now();
}

sockaddr_in to_sockaddr(const socket_address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    (void)inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

/// Like `parse_address`, but allows port 0.
socket_address listen_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon != std::string::npos && text.substr(colon) == ":0") {
        if (const auto any_port = parse_address(text.substr(0, colon) + ":1")) {
            return {any_port->host, 0};
        }
    }
    const auto address = parse_address(text);
    if (!address) {
        throw error{result_code::settings_bad_address, "not an IPv4 address and port: " + text};
    }
    return *address;
}

owned_fd open_socket() {
    return owned_fd{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
}

owned_fd open_listener(const std::string& text) {
    const auto address = to_sockaddr(listen_address(text));
    auto socket = open_socket();
    const int on = 1;
    (void)setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(socket.get(), listen_backlog) != 0) {
        throw error{result_code::settings_port_unavailable,
                    "cannot open the peer port: " + text + ": " + std::strerror(errno)};
    }
    return socket;
}

std::string local_address(int fd) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    (void)getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> host{};
    (void)inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    return std::string{host.data()} + ":" + std::to_string(ntohs(address.sin_port));
}

void watch_readable(int epoll, int fd) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = fd;
    (void)epoll_ctl(epoll, EPOLL_CTL_ADD, fd, &event);
}

} // namespace

owned_fd& owned_fd::operator=(owned_fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}

owned_fd::~owned_fd() {
    if (fd_ >= 0) {
        (void)::close(fd_);
    }
}

peer_transport::impl::impl(transport_settings initial_settings, transport_listener& listener)
    : settings{std::move(initial_settings)},
      incarnation{settings.incarnation}, listener_{listener}, epoll_{epoll_create1(EPOLL_CLOEXEC)},
      wake_event_{eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)}, listen_socket_{open_listener(settings.listen)} {
    bound_address = local_address(listen_socket_.get());
    if (settings.member.empty()) {
        settings.member = bound_address;
    }
    watch_readable(epoll_.get(), wake_event_.get());
    watch_readable(epoll_.get(), listen_socket_.get());
    thread_ = std::thread{[this] { run(); }};
}

peer_transport::impl::~impl() {
    stop();
}

void peer_transport::impl::stop() {
    stopping_ = true;
    const std::uint64_t one = 1;
    (void)!::write(wake_event_.get(), &one, sizeof one);
    if (thread_.joinable()) {
        thread_.join();
    }
}

void peer_transport::impl::post_command(bool dial, const distribution::member_id& member) {
    {
        const std::lock_guard guard{command_mutex_};
        commands_.push_back({dial, member});
    }
    const std::uint64_t one = 1;
    (void)!::write(wake_event_.get(), &one, sizeof one);
}

bool peer_transport::impl::send(const distribution::member_id& to, distribution::message_priority priority,
                                const frame_content& content) {
    link_pointer link;
    {
        const std::shared_lock guard{up_mutex_};
        const auto found = up_links_.find(to);
        if (found == up_links_.end()) {
            return false;
        }
        link = found->second;
    }
    const auto outcome = link->send(priority, encode_frame(content), steady_now());
    if (outcome == send_outcome::queue_full) {
        ++counters_.dropped_messages;
    }
    if (outcome == send_outcome::queued) {
        ++counters_.messages_out;
    }
    return outcome == send_outcome::queued;
}

transport_stats peer_transport::impl::stats() const {
    const std::shared_lock guard{up_mutex_};
    return {bytes_.in,
            bytes_.out,
            counters_.messages_in,
            counters_.messages_out,
            counters_.dropped_messages,
            counters_.malformed_frames,
            counters_.oversized_frames,
            counters_.protocol_mismatches,
            counters_.hello_timeouts,
            counters_.write_stalls,
            counters_.links_opened,
            counters_.links_closed,
            up_links_.size()};
}

void peer_transport::impl::run() {
    std::array<epoll_event, max_events> events{};
    while (!stopping_) {
        const auto count = epoll_wait(epoll_.get(), events.data(), max_events,
                                      static_cast<int>(milliseconds{check_interval}.count()));
        for (int index = 0; index < count; ++index) {
            const auto& event = events.at(static_cast<std::size_t>(index));
            on_event(event.data.fd, event.events);
        }
        run_commands();
        if (steady_now() >= next_check_) {
            next_check_ = steady_now() + check_interval;
            check_timeouts();
        }
    }
    while (!links_.empty()) {
        const auto link = links_.begin()->second;
        close_link(link, result_code::peer_link_closed, false);
    }
}

void peer_transport::impl::run_commands() {
    std::vector<command> commands;
    {
        const std::lock_guard guard{command_mutex_};
        commands.swap(commands_);
    }
    for (const auto& item : commands) {
        if (item.dial) {
            dial(item.member);
            continue;
        }
        if (const auto found = up_links_.find(item.member); found != up_links_.end()) {
            const auto link = found->second;
            close_link(link, result_code::peer_link_closed);
        }
    }
}

void peer_transport::impl::dial(const distribution::member_id& member) {
    if (up_links_.contains(member) || dialing_links_.contains(member)) {
        return;
    }
    const auto address = parse_address(member);
    auto socket = open_socket();
    if (!address || socket.get() < 0 || member == settings.member) {
        listener_.on_link_down(member, result_code::peer_link_closed);
        return;
    }
    const auto target = to_sockaddr(*address);
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0 &&
        errno != EINPROGRESS) {
        listener_.on_link_down(member, result_code::peer_link_closed);
        return;
    }
    add_link(std::move(socket), true, member);
}

void peer_transport::impl::add_link(owned_fd socket, bool dialed, const distribution::member_id& member) {
    const int on = 1;
    (void)setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto fd = socket.release();
    auto link = std::make_shared<peer_link>(epoll_.get(), fd, dialed, bytes_, steady_now());
    links_[fd] = link;
    if (dialed) {
        link->member = member;
        dialing_links_[member] = link;
    } else {
        send_hello(*link);
    }
}

void peer_transport::impl::accept_all() {
    for (;;) {
        owned_fd socket{::accept4(listen_socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
        if (socket.get() < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                // Without a free descriptor the event would fire again at once, so accepting pauses until the
                // next timeout check.
                accepting_ = false;
                (void)epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, listen_socket_.get(), nullptr);
            }
            return;
        }
        if (links_.size() < settings.max_links) {
            add_link(std::move(socket), false, {});
        }
    }
}

void peer_transport::impl::on_event(int fd, std::uint32_t events) {
    if (fd == wake_event_.get()) {
        std::uint64_t count = 0;
        (void)!::read(fd, &count, sizeof count);
        return;
    }
    if (fd == listen_socket_.get()) {
        accept_all();
        return;
    }
    const auto found = links_.find(fd);
    if (found == links_.end()) {
        return;
    }
    const auto link = found->second;
    if (link->phase == link_phase::connecting && !finish_connect(*link)) {
        close_link(link, result_code::peer_link_closed);
        return;
    }
    if ((events & EPOLLOUT) != 0U && !link->flush(steady_now())) {
        close_link(link, result_code::peer_link_closed);
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0U) {
        read_frames(link);
    }
}

bool peer_transport::impl::finish_connect(peer_link& link) {
    int socket_error = 0;
    socklen_t size = sizeof socket_error;
    (void)getsockopt(link.fd(), SOL_SOCKET, SO_ERROR, &socket_error, &size);
    if (socket_error != 0) {
        return false;
    }
    link.phase = link_phase::handshake;
    send_hello(link);
    return true;
}

void peer_transport::impl::send_hello(peer_link& link) {
    (void)link.send(distribution::message_priority::urgent,
                    encode_frame(hello{protocol_version, settings.member, incarnation}), steady_now());
}

void peer_transport::impl::count_protocol_error(result_code code) {
    if (code == result_code::peer_frame_too_large) {
        ++counters_.oversized_frames;
    } else if (code == result_code::peer_protocol_version) {
        ++counters_.protocol_mismatches;
    } else {
        ++counters_.malformed_frames;
    }
}

void peer_transport::impl::read_frames(const link_pointer& link) {
    const auto open = link->receive();
    try {
        if (link->phase == link_phase::handshake && link->decoder.buffered() > max_bytes_before_hello) {
            // A valid peer may already have sent messages after its hello.
            const auto first = link->decoder.next();
            if (!first) {
                throw error{result_code::peer_frame_too_large,
                            "too many bytes received before a complete hello"};
            }
            on_frame(link, *first);
        }
        while (link->phase != link_phase::closed) {
            const auto payload = link->decoder.next();
            if (!payload) {
                break;
            }
            on_frame(link, *payload);
        }
    } catch (const error& failure) {
        count_protocol_error(failure.code());
        close_link(link, failure.code());
        return;
    }
    if (!open) {
        close_link(link, result_code::peer_link_closed);
    }
}

void peer_transport::impl::on_frame(const link_pointer& link, std::string_view payload) {
    auto content = decode_frame(payload);
    const auto* peer_hello = std::get_if<hello>(&content);
    if ((link->phase == link_phase::handshake) != (peer_hello != nullptr)) {
        throw error{result_code::peer_frame_malformed, "the first frame is not a hello, or a later one is"};
    }
    if (peer_hello != nullptr) {
        on_hello(link, *peer_hello);
        return;
    }
    ++counters_.messages_in;
    if (auto* control = std::get_if<distribution::message>(&content)) {
        listener_.on_message(link->member, std::move(*control));
    } else {
        listener_.on_relay(link->member, std::move(std::get<relay_message>(content)));
    }
}

void peer_transport::impl::on_hello(const link_pointer& link, const hello& peer_hello) {
    if (peer_hello.protocol != protocol_version) {
        throw error{result_code::peer_protocol_version,
                    "unsupported peer protocol version " + std::to_string(peer_hello.protocol)};
    }
    const auto unexpected = link->dialed && peer_hello.member != link->member;
    if (!parse_address(peer_hello.member) || unexpected || peer_hello.member == settings.member) {
        throw error{result_code::peer_frame_malformed, "the hello names an invalid or unexpected member"};
    }
    link->member = peer_hello.member;
    link->incarnation = peer_hello.incarnation;
    link->up_at = steady_now();
    if (link->dialed) {
        dialing_links_.erase(link->member);
    }
    if (const auto found = up_links_.find(link->member); found != up_links_.end()) {
        const auto existing = found->second;
        if (!replaces(*link, *existing)) {
            close_link(link, result_code::peer_link_closed, false);
            return;
        }
        close_link(existing, result_code::peer_link_closed, false);
    }
    link->phase = link_phase::up;
    {
        const std::unique_lock guard{up_mutex_};
        up_links_[link->member] = link;
    }
    ++counters_.links_opened;
    listener_.on_link_up(link->member, link->incarnation, link->dialed);
}

/// When both sides dialed at once, both keep the link dialed by the member with the lower id. Otherwise the
/// newer link replaces the older one, because the peer has restarted or lost that connection.
bool peer_transport::impl::replaces(const peer_link& incoming, const peer_link& existing) const {
    const auto simultaneous = incoming.incarnation == existing.incarnation &&
                              incoming.dialed != existing.dialed &&
                              incoming.up_at - existing.up_at < simultaneous_dial_window;
    const auto lower_id_dialed = incoming.dialed == (settings.member < incoming.member);
    return !simultaneous || lower_id_dialed;
}

void peer_transport::impl::close_link(const link_pointer& link, result_code reason, bool notify) {
    const auto phase = link->phase;
    if (phase == link_phase::closed) {
        return;
    }
    links_.erase(link->fd());
    auto notify_down = notify;
    if (phase == link_phase::up) {
        const std::unique_lock guard{up_mutex_};
        up_links_.erase(link->member);
        ++counters_.links_closed;
    } else if (link->dialed) {
        dialing_links_.erase(link->member);
        notify_down = notify && !up_links_.contains(link->member);
    } else {
        notify_down = false;
    }
    link->close();
    if (notify_down) {
        listener_.on_link_down(link->member, reason);
    }
}

void peer_transport::impl::check_timeouts() {
    const auto now = steady_now();
    std::vector<link_pointer> expired;
    for (const auto& [fd, link] : links_) {
        const auto age = now - link->opened_at;
        if (link->phase == link_phase::connecting && age > settings.dial_timeout) {
            expired.push_back(link);
        } else if (link->phase == link_phase::handshake &&
                   age > settings.dial_timeout + settings.hello_timeout) {
            ++counters_.hello_timeouts;
            expired.push_back(link);
        } else if (link->stalled(now, settings.write_stall_timeout)) {
            ++counters_.write_stalls;
            expired.push_back(link);
        }
    }
    for (const auto& link : expired) {
        close_link(link, result_code::peer_link_closed);
    }
    if (!accepting_) {
        accepting_ = true;
        watch_readable(epoll_.get(), listen_socket_.get());
    }
}

} // namespace endive::peers

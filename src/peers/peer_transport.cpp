#include "peers/transport_loop.h"

namespace endive::peers {

peer_transport::peer_transport(transport_settings settings, transport_listener& listener)
    : impl_{std::make_unique<impl>(std::move(settings), listener)} {}

peer_transport::~peer_transport() = default;

const std::string& peer_transport::address() const {
    return impl_->bound_address;
}

void peer_transport::dial(const distribution::member_id& member) {
    impl_->post_command(true, member);
}

void peer_transport::close(const distribution::member_id& member) {
    impl_->post_command(false, member);
}

bool peer_transport::send(const distribution::member_id& to, distribution::message_priority priority,
                          const distribution::message& content) {
    return impl_->send(to, priority, content);
}

bool peer_transport::send(const distribution::member_id& to, const relay_message& content) {
    return impl_->send(to, distribution::message_priority::calls, content);
}

void peer_transport::set_incarnation(std::uint64_t incarnation) {
    impl_->incarnation = incarnation;
}

transport_stats peer_transport::stats() const {
    return impl_->stats();
}

void peer_transport::stop() {
    impl_->stop();
}

} // namespace endive::peers

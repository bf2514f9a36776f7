#include "sidecar/stream.h"

#include "sidecar/guard.h"

#include "sidecar/loopback.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

namespace {

/// Leaves the process no free file descriptor during its lifetime.
class descriptor_exhaustion {
public:
    descriptor_exhaustion() {
        ::getrlimit(RLIMIT_NOFILE, &previous_limit_);
        const int lowest_free = ::dup(0);
        ::close(lowest_free);
        auto limit = previous_limit_;
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~descriptor_exhaustion() { ::setrlimit(RLIMIT_NOFILE, &previous_limit_); }
    descriptor_exhaustion(const descriptor_exhaustion&) = delete;
    descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;

private:
    rlimit previous_limit_{};
};

} // namespace

// Guards against a busy loop when the process has run out of descriptors: each accept failed immediately and
// the next one began, so that the event loop did nothing else and wrote a log line each time.
TEST_CASE("a listener out of descriptors pauses and accepts once one is free") {
    boost::asio::io_context loop;
    const auto address = free_address();
    int accepted = 0;
    listener server{loop, address, [&](const std::shared_ptr<stream>&) { ++accepted; }};
    tcp::socket client{loop};
    client.open(tcp::v4());
    {
        const descriptor_exhaustion exhausted;
        client.connect(to_endpoint(address));
        constexpr int max_handlers = 20;
        int handlers = 0;
        while (handlers < max_handlers && loop.poll_one() > 0) {
            ++handlers;
        }
        CHECK(handlers < max_handlers);
        CHECK(accepted == 0);
    }
    CHECK(run_until(loop, [&] { return accepted == 1; }));
}

// Guards against a server that stays deaf to new connections, while its other listeners answer, because an
// exception ended the handling of one.
TEST_CASE("a listener goes on accepting after the handler of a connection has failed") {
    boost::asio::io_context loop;
    const auto address = free_address();
    int accepted = 0;
    listener server{loop, address, [&](const std::shared_ptr<stream>&) {
                        if (++accepted == 1) {
                            throw std::bad_alloc{};
                        }
                    }};
    std::vector<tcp::socket> clients;
    for (int i = 0; i < 3; ++i) {
        clients.emplace_back(loop).connect(to_endpoint(address));
    }
    // The process runs its loop again after an exception, as here.
    for (int step = 0; step < 50; ++step) {
        (void)run_guarded("event", [&] { run_steps(loop, 1); });
    }
    CHECK(accepted == 3);
}

// Guards against new connections that wait for seconds at a busy daemon, which accepted one of them for each
// round of its event loop: their requests were read when the callers had left.
TEST_CASE("a listener accepts all waiting connections in one event") {
    constexpr int waiting = 20;
    constexpr int max_handlers = 3;
    boost::asio::io_context loop;
    const auto address = free_address();
    int accepted = 0;
    const listener server{loop, address, [&](const std::shared_ptr<stream>&) { ++accepted; }};
    std::vector<tcp::socket> clients;
    for (int i = 0; i < waiting; ++i) {
        clients.emplace_back(loop).connect(to_endpoint(address));
    }
    for (int handlers = 0; handlers < max_handlers; ++handlers) {
        (void)loop.run_one_for(std::chrono::seconds{5});
    }
    CHECK(accepted == waiting);
}

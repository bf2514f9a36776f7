#include "sidecar/stream.h"

#include "sidecar/loopback.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

namespace {

/// Leaves the process no further descriptor while it lives.
class no_descriptors_left {
public:
    no_descriptors_left() {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(0);
        ::close(lowest_free);
        auto limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowest_free);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~no_descriptors_left() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    no_descriptors_left(const no_descriptors_left&) = delete;
    no_descriptors_left& operator=(const no_descriptors_left&) = delete;

private:
    rlimit before_{};
};

} // namespace

// Failure: without descriptors left each accept failed at once and the next one began, so the loop did
// nothing else and wrote a line each time.
TEST_CASE("a listener without descriptors pauses, and accepts once there are some") {
    boost::asio::io_context loop;
    const auto address = free_address();
    int accepted = 0;
    listener server{loop, address, [&](const std::shared_ptr<stream>&) { ++accepted; }};
    tcp::socket client{loop};
    client.open(tcp::v4());
    {
        const no_descriptors_left full;
        client.connect(to_endpoint(address));
        constexpr int enough_for_one_failure = 20;
        int handlers = 0;
        while (handlers < enough_for_one_failure && loop.poll_one() > 0) {
            ++handlers;
        }
        CHECK(handlers < enough_for_one_failure);
        CHECK(accepted == 0);
    }
    CHECK(run_until(loop, [&] { return accepted == 1; }));
}

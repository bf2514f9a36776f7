#include "endive/backends.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::backends;
using namespace std::chrono_literals;

namespace {

/// Transport that answers every request at once with the same response.
class fixed_transport final : public transport {
public:
    calls::attempt_result seen;
    std::string body;

    std::unique_ptr<exchange> start(const model::endpoint_info&, const backend_request&) override {
        return std::make_unique<answer>(*this);
    }

private:
    class answer final : public exchange {
    public:
        explicit answer(const fixed_transport& from) : seen_{from.seen}, body_{from.body} {}
        bool step() override { return true; }
        void wait(duration, exchange*, int) override {}
        std::string take_body() override { return body_; }
        std::size_t buffered() const override { return body_.size(); }
        bool has_head() const override { return true; }
        const response_head& head() const override { return head_; }
        calls::attempt_result result() const override { return seen_; }
        void cancel() override {}

    private:
        calls::attempt_result seen_;
        std::string body_;
        response_head head_;
    };
};

} // namespace

TEST_CASE("a probe takes a load from 0 to 1 and nothing else") {
    const system_clock_source clock;
    fixed_transport pool;
    pool.seen.status = 200;
    const auto run = [&] { return probe(pool, {}, clock, clock.now() + 1s); };
    pool.body = R"({"load":0.4})";
    REQUIRE(run() == probe_result{true, 0.4});
    for (const auto* body : {"", "{}", "[1]", R"({"load":"0.4"})", R"({"load":1.5})", R"({"load":-1})"}) {
        pool.body = body;
        REQUIRE(run() == probe_result{true, std::nullopt});
    }
    pool.seen.status = 500;
    REQUIRE_FALSE(run().reachable);
    pool.seen = {};
    pool.seen.transport = calls::transport_result::connect_failed;
    REQUIRE_FALSE(run().reachable);
}

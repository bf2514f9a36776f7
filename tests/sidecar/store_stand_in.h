#pragma once
// An in-process stand-in for the platform's metadata store on a test's event loop: rows, conditional writes
// and the change feed.

#include "platform/wire.h"

#include "sidecar/http_server.h"
#include "sidecar/loopback.h"

namespace endive::sidecar::test {

class store_stand_in {
public:
    store_stand_in(boost::asio::io_context& loop, const clock_source& clock)
        : clock_{clock}, address_{free_address()}, timer_{loop},
          server_{loop, clock, address_, [this](const std::shared_ptr<exchange>& call) { handle(call); }} {
        answer_overdue_watches();
    }

    [[nodiscard]] const std::string& address() const { return address_; }
    /// Writes a row as the operator does, without a condition.
    void put(const std::string& table, const std::string& key, const std::string& value) {
        rows_[{table, key}] = {table, key, value, ++version_, false};
        answer_watches();
    }
    [[nodiscard]] std::optional<mesh::store_row> find(const std::string& table,
                                                      const std::string& key) const {
        const auto found = rows_.find({table, key});
        return found == rows_.end() ? std::nullopt : std::optional{found->second};
    }
    /// The open watches are never answered, as on connections that have gone silent.
    void forget_watches() { watches_.clear(); }
    /// Number of reads and watches of `table` so far.
    [[nodiscard]] int reads(const std::string& table) const {
        const auto found = reads_.find(table);
        return found == reads_.end() ? 0 : found->second;
    }
    /// While true, every call is answered with status 503.
    void set_unavailable(bool unavailable) { unavailable_ = unavailable; }
    /// Delays the answers to reads of this table until `release_reads`. They contain the rows at the time of
    /// the read.
    void delay_reads(std::string table) { delayed_table_ = std::move(table); }
    void release_reads() {
        delayed_table_.clear();
        for (const auto& [call, rows] : std::exchange(delayed_reads_, {})) {
            reply(call, 200, rows);
        }
    }
    struct copy {
        std::map<std::pair<std::string, std::string>, mesh::store_row> rows;
        std::uint64_t version = 0;
    };
    [[nodiscard]] copy make_copy() const { return {rows_, version_}; }
    /// Comes back from an older copy: what was written since is lost, versions are assigned again. Open
    /// watches get 410, or with `keep_watches` the changes after their versions in the new era.
    void restore(const copy& from, bool keep_watches = false) {
        rows_ = from.rows;
        version_ = from.version;
        ++era_;
        if (keep_watches) {
            return;
        }
        for (const auto& waiting : std::exchange(watches_, {})) {
            reply(waiting.call, 410, json::object());
        }
    }
    [[nodiscard]] int calls() const { return calls_; }
    /// True when a watch was received that asked to wait for this long.
    [[nodiscard]] bool waited(milliseconds wait) const { return waits_.contains(wait); }
    /// Number of watches received so far.
    [[nodiscard]] int watches() const { return watch_calls_; }

private:
    struct watch {
        std::shared_ptr<exchange> call;
        std::string table;
        std::uint64_t after = 0;
        time_point until;
    };

    static std::string parameter(const std::string& target, const std::string& name) {
        const auto at = target.find(name + "=");
        if (at == std::string::npos) {
            return {};
        }
        const auto start = at + name.size() + 1;
        return target.substr(start, target.find('&', start) - start);
    }

    void reply(const std::shared_ptr<exchange>& call, unsigned status, const json& body) const {
        http_message response;
        response.status = status;
        response.headers.push_back({std::string{platform_wire::store_era_header}, std::to_string(era_)});
        response.body = body.dump();
        call->respond(std::move(response));
    }

    [[nodiscard]] json page(const std::vector<mesh::store_row>& rows) const {
        json list = json::array();
        for (const auto& row : rows) {
            // The platform adapter's encoding of a write is also the store's encoding of a row.
            const auto write = json::parse(platform_wire::write_row(nullptr, row).body);
            auto entry = write["Writes"][0];
            entry["Ver"] = row.version;
            list.push_back(entry);
        }
        return {{"Rows", list}, {"HasMore", false}, {"Ver", version_}, {"Now", "1ms"}};
    }

    [[nodiscard]] std::vector<mesh::store_row> rows_of(const std::string& table, std::uint64_t after) const {
        std::vector<mesh::store_row> result;
        for (const auto& [key, row] : rows_) {
            if (row.table == table && row.version > after) {
                result.push_back(row);
            }
        }
        return result;
    }

    void handle(const std::shared_ptr<exchange>& call) {
        ++calls_;
        const auto& request = call->request();
        if (unavailable_) {
            reply(call, 503, json::object());
            return;
        }
        const auto table = parameter(request.target, "TableName");
        ++reads_[table];
        if (request.target.starts_with("/-/rows-get")) {
            if (table == delayed_table_) {
                delayed_reads_.emplace_back(call, page(rows_of(table, 0)));
                return;
            }
            reply(call, 200, page(rows_of(table, 0)));
        } else if (request.target.starts_with("/-/rows-feed")) {
            ++watch_calls_;
            const milliseconds wait{std::stoi(parameter(request.target, "WaitMs"))};
            waits_.insert(wait);
            const auto after = std::stoull(parameter(request.target, "after"));
            if (after > version_) {
                reply(call, 410, json::object());
                return;
            }
            watches_.push_back({call, table, after, clock_.now() + wait});
            answer_watches();
        } else {
            transact(call, json::parse(request.body));
        }
    }

    void transact(const std::shared_ptr<exchange>& call, const json& body) {
        for (const auto& condition : body["ExpectedRev"]) {
            const auto found = find(condition["TableName"], condition["Key"]);
            if ((found ? found->version : 0) != condition["Ver"].get<std::uint64_t>()) {
                reply(call, 412, page(found ? std::vector{*found} : std::vector<mesh::store_row>{}));
                return;
            }
        }
        for (const auto& write : body["Writes"]) {
            json entry = write;
            entry["Ver"] = version_ + 1;
            const auto row =
                platform_wire::decode_rows(json{{"Rows", json::array({entry})}}.dump()).rows.at(0);
            put(row.table, row.key, row.value);
        }
        for (const auto& dropped : body["Remove"]) {
            rows_.erase({dropped["TableName"].get<std::string>(), dropped["Key"].get<std::string>()});
            ++version_;
        }
        reply(call, 200, {{"Ver", version_}, {"Now", "1ms"}});
    }

    void answer_watches() {
        for (const auto& waiting : std::exchange(watches_, {})) {
            const auto rows = rows_of(waiting.table, waiting.after);
            if (rows.empty() && clock_.now() < waiting.until) {
                watches_.push_back(waiting);
            } else {
                reply(waiting.call, 200, page(rows));
            }
        }
    }

    /// The timer only polls; the watches end by the test's clock.
    void answer_overdue_watches() {
        answer_watches();
        timer_.expires_after(milliseconds{2});
        timer_.async_wait([this](error_code code) {
            if (!code) {
                answer_overdue_watches();
            }
        });
    }

    const clock_source& clock_;
    std::string address_;
    boost::asio::steady_timer timer_;
    std::map<std::pair<std::string, std::string>, mesh::store_row> rows_;
    std::uint64_t version_ = 0;
    std::uint32_t era_ = 0;
    std::vector<watch> watches_;
    std::map<std::string, int> reads_;
    std::string delayed_table_;
    std::vector<std::pair<std::shared_ptr<exchange>, json>> delayed_reads_;
    bool unavailable_ = false;
    int calls_ = 0;
    int watch_calls_ = 0;
    std::set<milliseconds> waits_;
    http_server server_;
};

} // namespace endive::sidecar::test

#pragma once
/// Queue of work for one thread, and a small pool of such threads for blocking platform calls.

#include "endive/base.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <thread>

namespace endive::daemon {

/// Unbounded queue of tasks. Thread safe. Producers are bounded themselves: each link, request and timer has
/// a bounded number of tasks in flight.
class task_queue {
public:
    using task = std::function<void()>;

    /// Returns false when the queue is closed; the task is dropped.
    bool push(task work);
    /// Runs queued tasks until `deadline` or until the queue is closed and empty.
    void run_until(time_point deadline);
    /// Runs tasks until the queue is closed and empty.
    void run();
    void close();
    [[nodiscard]] bool closed() const;

private:
    /// Waits for a task, at most until `deadline`, and runs it. False on time-out or when closed and empty.
    bool run_next(std::optional<time_point> deadline);
    mutable std::mutex mutex_;
    std::condition_variable available_;
    std::deque<task> tasks_;
    bool closed_ = false;
};

/// A fixed number of threads that run tasks which may block.
class worker_pool {
public:
    explicit worker_pool(std::size_t threads);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool();
    bool push(task_queue::task work) { return queue_.push(std::move(work)); }
    /// Finishes queued tasks and joins the threads. Idempotent.
    void stop();

private:
    task_queue queue_;
    std::vector<std::thread> threads_;
};

} // namespace endive::daemon

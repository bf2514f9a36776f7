#include "daemon/task_queue.h"

namespace endive::daemon {

bool task_queue::push(task work) {
    {
        const std::lock_guard lock{mutex_};
        if (closed_) {
            return false;
        }
        tasks_.push_back(std::move(work));
    }
    available_.notify_one();
    return true;
}

bool task_queue::run_next(std::optional<time_point> deadline) {
    std::unique_lock lock{mutex_};
    const auto has_work = [this] { return !tasks_.empty() || closed_; };
    if (deadline) {
        available_.wait_until(lock, *deadline, has_work);
    } else {
        available_.wait(lock, has_work);
    }
    if (tasks_.empty()) {
        return false;
    }
    task next = std::move(tasks_.front());
    tasks_.pop_front();
    lock.unlock();
    next();
    return true;
}

void task_queue::run_until(time_point deadline) {
    while (run_next(deadline) && std::chrono::steady_clock::now() < deadline) {
    }
}

void task_queue::run() {
    while (run_next(std::nullopt)) {
    }
}

void task_queue::close() {
    {
        const std::lock_guard lock{mutex_};
        closed_ = true;
    }
    available_.notify_all();
}

bool task_queue::closed() const {
    const std::lock_guard lock{mutex_};
    return closed_;
}

worker_pool::worker_pool(std::size_t threads) {
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { queue_.run(); });
    }
}

worker_pool::~worker_pool() {
    stop();
}

void worker_pool::stop() {
    queue_.close();
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace endive::daemon

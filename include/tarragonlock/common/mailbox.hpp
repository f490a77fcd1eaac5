#pragma once

#include "tarragonlock/common/time.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace tarragonlock
{

/// Unbounded thread-safe queue with many producers and one consumer.
template<class T>
class mailbox
{
public:
    /// Appends a message and wakes the consumer.
    void post(T message)
    {
        {
            const std::lock_guard lock(mutex_);
            messages_.push_back(std::move(message));
        }
        not_empty_.notify_one();
    }

    /// Waits for a message.
    /// @param timeout  longest wait
    /// @return the oldest message, or nothing after the timeout
    std::optional<T> receive(duration timeout)
    {
        std::unique_lock lock(mutex_);
        if (!not_empty_.wait_for(lock, timeout, [this] { return !messages_.empty(); }))
            return std::nullopt;
        T message = std::move(messages_.front());
        messages_.pop_front();
        return message;
    }

    /// Removes and returns all queued messages, without waiting.
    std::deque<T> drain()
    {
        const std::lock_guard lock(mutex_);
        return std::exchange(messages_, {});
    }

private:
    std::mutex mutex_;
    std::condition_variable not_empty_;
    std::deque<T> messages_;
};

} // namespace tarragonlock

// A message queue to one coroutine.
//
//     mailbox.put(message);                    // any thread
//     const auto next = co_await mailbox.take(); // receiving coroutine
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace basilhall::entry
{

// Maximum number of queued messages. One call sends only a few messages in total.
inline constexpr std::size_t kMailboxSize = 64;

// Thread-safe.
template<typename Message>
class Mailbox
{
public:
    explicit Mailbox(const boost::asio::any_io_executor &executor)
        : m_channel(executor, kMailboxSize)
    {
    }

    // Returns false if the mailbox is full.
    bool put(Message message)
    {
        return m_channel.try_send(boost::system::error_code(), std::move(message));
    }

    boost::asio::awaitable<Message> take()
    {
        co_return co_await m_channel.async_receive(boost::asio::use_awaitable);
    }

private:
    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, Message)>
        m_channel;
};

} // namespace basilhall::entry

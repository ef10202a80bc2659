// Counts the bytes that one answer holds in a sum over all answers.
//
//     BufferedBytes buffered(sum);
//     buffered.set(body.capacity());   // taken off again with the destruction of `buffered`
#pragma once

#include <cstddef>

namespace basilhall::gateway
{

// Not thread-safe. The sum must outlive it.
class BufferedBytes
{
public:
    explicit BufferedBytes(std::size_t &sum)
        : m_sum(sum)
    {
    }
    ~BufferedBytes() { m_sum -= m_own; }
    BufferedBytes(const BufferedBytes &) = delete;
    BufferedBytes &operator=(const BufferedBytes &) = delete;

    void set(std::size_t bytes)
    {
        m_sum = m_sum - m_own + bytes;
        m_own = bytes;
    }

private:
    std::size_t &m_sum;
    std::size_t m_own = 0;
};

} // namespace basilhall::gateway

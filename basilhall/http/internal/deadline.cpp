#include "basilhall/http/internal/deadline.h"

namespace basilhall::http
{

Deadline::Deadline(boost::asio::ip::tcp::socket &socket)
    : m_socket(socket)
    , m_timer(socket.get_executor())
{
}

Deadline::~Deadline()
{
    *m_alive = false;
}

void Deadline::arm(Duration timeout)
{
    m_passed = false;
    ++m_generation;
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [this, alive = m_alive, generation = m_generation](boost::system::error_code error) {
            if (error || !*alive || generation != m_generation) {
                return;
            }
            m_passed = true;
            boost::system::error_code ignored;
            m_socket.cancel(ignored);
        });
}

void Deadline::disarm()
{
    ++m_generation;
    m_timer.cancel();
}

} // namespace basilhall::http

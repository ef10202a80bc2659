#include "basilhall/base/testing/run_coroutine.h"
#include "basilhall/http/client.h"
#include "basilhall/http/server.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <new>

namespace
{

std::size_t allocatedBytes = 0; // NOLINT: counted by the functions below

} // namespace

void *operator new(std::size_t size)
{
    allocatedBytes += size;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

// Asio allocates the frames of coroutines with this function.
extern "C" void *aligned_alloc(std::size_t alignment, std::size_t size)
{
    allocatedBytes += size;
    void *memory = nullptr;
    return posix_memalign(&memory, std::max(alignment, sizeof(void *)), size) == 0 ? memory
                                                                                   : nullptr;
}

namespace asio = boost::asio;
using namespace basilhall;
using namespace std::chrono_literals;

namespace
{

constexpr int kEvents = 200;
// A small event must cost much less than a page for each of its copies.
constexpr std::size_t kMaxBytesPerEvent = 8 * 1024;

asio::awaitable<void> serveEvents(std::shared_ptr<http::Exchange> exchange)
{
    (void)co_await exchange->beginStream(200, {});
    for (int event = 0; event < kEvents; ++event) {
        (void)co_await exchange->write("data: token\n\n");
    }
    (void)co_await exchange->endStream();
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_answer_memory)

BOOST_AUTO_TEST_CASE(smallEventsDoNotAllocateLargeBuffers)
{
    asio::io_context context;
    http::Server server{context.get_executor(), {"127.0.0.1", 0}, {}, serveEvents};
    http::Client client{context.get_executor()};
    int parts = 0;
    std::size_t before = 0;
    basilhall::testing::runCoroutine(context, [&]() -> asio::awaitable<void> {
        http::Request request{"GET", "/", {}, {}};
        auto stream = co_await client.open(server.address(), std::move(request), 5s);
        BOOST_TEST_REQUIRE(stream.has_value());
        before = allocatedBytes;
        while (true) {
            const auto part = co_await stream.value()->read(5s);
            BOOST_TEST_REQUIRE(part.has_value());
            if (!part.value()) {
                break;
            }
            ++parts;
        }
    });
    BOOST_TEST_REQUIRE(parts > 0);
    const std::size_t perPart = (allocatedBytes - before) / static_cast<std::size_t>(parts);
    BOOST_TEST(perPart < kMaxBytesPerEvent);
}

BOOST_AUTO_TEST_SUITE_END()

#include "basilhall/gateway/internal/batch_reads.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>

using namespace basilhall;
using namespace basilhall::gateway;

namespace asio = boost::asio;

namespace
{

constexpr std::size_t kConcurrent = 2;

store::ObjectKey key(int batch)
{
    return {"journals", std::to_string(batch)};
}

struct Fixture {
    asio::awaitable<void> read(std::set<store::ObjectKey> batches)
    {
        const Result<void> done = co_await reads.read(std::move(batches));
        (done ? succeeded : failed) += 1;
    }

    void request(std::set<store::ObjectKey> batches)
    {
        asio::co_spawn(context, read(std::move(batches)), asio::detached);
        context.restart();
        context.poll();
    }

    void answer(const store::Outcome &outcome)
    {
        const store::OutcomeHandler handler = requests.front().second;
        requests.pop_front();
        handler(outcome);
        context.restart();
        context.poll();
    }

    void answer(int batch) { answer(std::vector<store::Object>{{key(batch), {}, "content"}}); }

    asio::io_context context;
    std::deque<std::pair<store::Request, store::OutcomeHandler>> requests;
    std::vector<std::string> added;
    int succeeded = 0;
    int failed = 0;
    BatchReads reads{context.get_executor(),
                     [this](store::Request request, store::OutcomeHandler handler) {
                         requests.emplace_back(std::move(request), std::move(handler));
                     },
                     [this](const store::Object &object) { added.push_back(object.key.name); },
                     kConcurrent};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_batch_reads, Fixture)

BOOST_AUTO_TEST_CASE(batchIsReadOnceForAllRequestsThatWaitForIt)
{
    request({key(1)});
    request({key(1), key(2)});
    BOOST_TEST(requests.size() == 2U);
    answer(1);
    BOOST_TEST(succeeded == 1);
    answer(2);
    BOOST_TEST(succeeded == 2);
    BOOST_TEST((added == std::vector<std::string>{"1", "2"}));
    // The content may have been dropped since.
    request({key(1)});
    BOOST_TEST(requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(numberOfConcurrentReadsIsLimited)
{
    request({key(1), key(2), key(3)});
    request({key(4)});
    for (int batch = 1; batch <= 4; ++batch) {
        BOOST_TEST(requests.size() <= kConcurrent);
        answer(batch);
    }
    BOOST_TEST(succeeded == 2);
    BOOST_TEST(requests.empty());
}

BOOST_AUTO_TEST_CASE(readsThatHaveNotBegunFailIfTheStoreIsUnavailable)
{
    request({key(1), key(2)});
    request({key(3)});
    answer(Error(ErrorKind::StoreUnavailable, "down"));
    BOOST_TEST(failed == 1);
    answer(2);
    BOOST_TEST(failed == 2);
    BOOST_TEST(requests.empty());
    request({key(3)});
    answer(3);
    BOOST_TEST(succeeded == 1);
}

BOOST_AUTO_TEST_CASE(missingBatchFailsOnlyTheRequestsThatNeedIt)
{
    request({key(1), key(2)});
    request({key(3)});
    answer(Error(ErrorKind::NotFound, "none"));
    answer(2);
    answer(3);
    BOOST_TEST(failed == 1);
    BOOST_TEST(succeeded == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// The end of a process that drains: a request that comes in its last moments is answered.

#include "app/processrunner.h"

#include <boost/asio/post.hpp>
#include <csignal>
#include <gtest/gtest.h>

namespace fulmarlink::testing
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

/** Idle when the drain begins; a request comes 0.2 s later and takes 0.6 s. */
class LateRequestProcess
{
public:
    explicit LateRequestProcess(asio::io_context &context)
        : m_arrival(context)
        , m_end(context)
    {
    }

    void start()
    {
    }

    void startDrain()
    {
        m_arrival.expires_after(200ms);
        m_arrival.async_wait([this](const boost::system::error_code &) {
            m_busy = true;
            m_end.expires_after(600ms);
            m_end.async_wait([this](const boost::system::error_code &) {
                m_busy = false;
                answered = true;
            });
        });
    }

    bool drained() const
    {
        return !m_busy;
    }

    void cutAll()
    {
    }

    void stop()
    {
        answeredAtStop = answered;
    }

    bool answered = false;
    bool answeredAtStop = false;

private:
    asio::steady_timer m_arrival;
    asio::steady_timer m_end;
    bool m_busy = false;
};

} // namespace

TEST(ProcessRunner, ARequestThatComesWhileTheLastAnswersAreWrittenIsAnswered)
{
    asio::io_context context(1);
    LateRequestProcess process(context);
    asio::post(context, [] {
        std::raise(SIGTERM);
    });
    EXPECT_EQ(ProcessRunner<LateRequestProcess>(context, process, 1, 8000ms).run(), ExitCode::Ok);
    EXPECT_TRUE(process.answeredAtStop);
}

} // namespace fulmarlink::testing

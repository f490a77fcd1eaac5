// Outcome that the agent reports for a task when its backend server can't be reached.

#include "process/task_runner.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <future>

using namespace tarragonlock;

namespace
{

/// A loopback server that never accepts. Once its backlog is full, connection attempts time out.
class full_listener
{
public:
    full_listener() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address_);
        BOOST_REQUIRE(::bind(listener_, reinterpret_cast<sockaddr*>(&address_), length) == 0);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address_), &length);
        BOOST_REQUIRE(::listen(listener_, 0) == 0);
        for (auto& client : clients_)
        {
            client = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            // Left pending to fill the backlog.
            static_cast<void>(::connect(client, reinterpret_cast<sockaddr*>(&address_), length));
        }
    }
    ~full_listener()
    {
        ::close(listener_);
        for (const auto client : clients_)
            ::close(client);
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(::ntohs(address_.sin_port));
    }

private:
    int listener_;
    sockaddr_in address_{};
    std::array<int, 4> clients_{};
};

} // namespace

BOOST_AUTO_TEST_SUITE(task_runner_test)

BOOST_AUTO_TEST_CASE(connect_timeout_reports_the_task_as_not_started)
{
    const full_listener listener;
    std::promise<task_outcome> finished;
    task_runner runner(1, [&](const task_outcome& outcome) { finished.set_value(outcome); });
    constexpr std::uint32_t timeout_ms = 10'000;
    runner.run({{"job", 0, 0}, listener.address(), "body", timeout_ms});
    BOOST_TEST((finished.get_future().get().status == task_status::not_started));
}

BOOST_AUTO_TEST_SUITE_END()

#include "connection/loop_http_server.hpp"
#include "platform/formats.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using std::chrono::milliseconds;

namespace
{

constexpr auto store_address = "127.0.0.1:23971";

/// Answers every call with one body.
struct fixture
{
    explicit fixture(std::string body) : answer(std::move(body))
    {
        auto opened = loop_http_server::open(
            loop, {store_address, "", 4096},
            [this](http_request_id id, const http_request&) {
                server->respond(id, {200, answer, "application/json", 0});
            },
            nullptr);
        BOOST_REQUIRE(opened.has_value());
        server = std::move(opened).value();
        client = platform::make_store_http_client(loop, store_address);
    }

    template<class Condition>
    void run_until(Condition done)
    {
        for (const auto end = process_clock::now() + milliseconds(2000);
             !done() && process_clock::now() < end;)
        {
            loop.run_for(milliseconds(5));
            client->on_tick(process_clock::now());
        }
    }

    result<store_page> list()
    {
        std::optional<result<store_page>> page;
        client->list("entries/", "", [&](result<store_page> read) { page = std::move(read); });
        run_until([&] { return page.has_value(); });
        BOOST_REQUIRE(page.has_value());
        return *page;
    }

    result<store_change_batch> watch()
    {
        std::optional<result<store_change_batch>> batch;
        client->watch("entries/", 1, milliseconds(0),
                      [&](result<store_change_batch> read) { batch = std::move(read); });
        run_until([&] { return batch.has_value(); });
        BOOST_REQUIRE(batch.has_value());
        return *batch;
    }

    boost::asio::io_context loop;
    std::string answer;
    std::unique_ptr<loop_http_server> server;
    std::unique_ptr<key_value_client> client;
};

/// Items that no entry writes: fields missing, of other types, or not Base64.
const std::vector<std::string> odd_items{
    R"({"key":"entries/odd","value":"***","revision":4})",
    R"({"key":"entries/odd","value":7,"revision":4})",
    R"({"key":"entries/odd","value":[[[[[[[[]]]]]]]],"revision":4})",
    R"({"key":"entries/odd","value":"","revision":-1})",
    R"({"key":"entries/odd","value":"","revision":99999999999999999999})",
    R"({"key":"entries/odd","value":"","revision":"4"})",
    R"({"key":7,"value":"","revision":4})",
    "{}",
    "[]",
    "null",
    "7"};

constexpr auto valid_item = R"({"key":"entries/e1","value":"MTI3LjAuMC4xOjE=","revision":3})";
constexpr auto last_item = R"({"key":"entries/z","value":"MTI3LjAuMC4xOjI=","revision":5})";

} // namespace

BOOST_AUTO_TEST_SUITE(store_http_client_tests)

BOOST_AUTO_TEST_CASE(an_odd_item_does_not_hide_the_rest_of_its_page)
{
    for (const auto& odd : odd_items)
    {
        fixture f(R"({"items":[)" + std::string(valid_item) + "," + odd + "," + last_item +
                  R"(],"truncated":false,"current_rev":9})");
        const auto page = f.list();
        BOOST_REQUIRE_MESSAGE(page.has_value(), odd);
        BOOST_REQUIRE_EQUAL(page.value().items.size(), 2U);
        BOOST_TEST(page.value().items[0].value == "127.0.0.1:1");
        BOOST_TEST(page.value().items[1].value == "127.0.0.1:2");
        BOOST_TEST(page.value().revision == 9);
    }
}

BOOST_AUTO_TEST_CASE(the_next_page_starts_after_an_odd_item)
{
    fixture f(R"({"items":[{"key":"entries/odd","value":7}],"truncated":true,"current_rev":9})");
    const auto page = f.list();
    BOOST_REQUIRE(page.has_value());
    BOOST_TEST(page.value().items.empty());
    BOOST_TEST(page.value().last_key == "entries/odd");
}

BOOST_AUTO_TEST_CASE(an_odd_event_does_not_stop_a_watch)
{
    for (const auto& odd : odd_items)
    {
        fixture f(R"({"events":[)" + std::string(valid_item) + "," + odd + "," + last_item +
                  R"(],"current_rev":9})");
        const auto batch = f.watch();
        BOOST_REQUIRE_MESSAGE(batch.has_value(), odd);
        BOOST_TEST(batch.value().revision == 9);
        const auto& changes = batch.value().changes;
        BOOST_REQUIRE(changes.size() >= 2U);
        BOOST_TEST(changes.front().key == "entries/e1");
        BOOST_TEST(changes.back().key == "entries/z");
        BOOST_TEST(changes.back().item.has_value());
        // What the key named before is no longer valid.
        if (changes.size() == 3)
            BOOST_TEST(!changes[1].item.has_value());
    }
}

BOOST_AUTO_TEST_CASE(a_deletion_is_reported_without_an_item)
{
    fixture f(R"({"events":[{"key":"entries/e1","revision":8,"deleted":true}],"current_rev":9})");
    const auto batch = f.watch();
    BOOST_REQUIRE(batch.has_value());
    BOOST_REQUIRE_EQUAL(batch.value().changes.size(), 1U);
    BOOST_TEST(!batch.value().changes[0].item.has_value());
    BOOST_TEST(batch.value().changes[0].revision == 8);
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_answer_is_an_error)
{
    fixture f(R"({"items":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}");
    BOOST_TEST((f.list().error() == store_error::bad_answer));
}

BOOST_AUTO_TEST_SUITE_END()

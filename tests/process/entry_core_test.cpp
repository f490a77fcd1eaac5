#include "fakes/virtual_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;
using namespace tarragonlock::test;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(entry_core_test)

// Guards against an entry that applies the wait of a forwarded query itself: it would answer the
// caller at its next tick, before the answer of the owner arrives.
BOOST_AUTO_TEST_CASE(forwarded_query_is_answered_by_the_owner_not_by_the_next_tick)
{
    virtual_fleet fleet(1, 3, 1, {});
    fleet.apply("services: [{name: clearing}]");
    fleet.run_for(seconds(6));
    for (const auto& name : fleet.process_names(true))
    {
        auto& entry = fleet.entry(name);
        if (entry.shards().state(shard_of("never-seen")) == shard_state::active)
            continue;
        constexpr call_id call = 7;
        entry.on_query(fleet.now(), call, "never-seen", duration(0));
        entry.on_tick(fleet.now() + std::chrono::milliseconds(1));
        for (const auto& effect : entry.take_effects())
            BOOST_TEST(!std::holds_alternative<reply_to_caller>(effect));
    }
}

BOOST_AUTO_TEST_SUITE_END()

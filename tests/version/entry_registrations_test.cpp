#include "tarragonlock/version/entry_registrations.hpp"

#include <boost/test/unit_test.hpp>

using namespace tarragonlock;

namespace
{

store_change written(const std::string& key, const std::string& value)
{
    return {key, store_item{key, value, 1}};
}

const std::vector<std::string> odd_values{"",
                                          "10.1.0.13",
                                          "10.1.0.13:",
                                          "10.1.0.13:0",
                                          "10.1.0.13:65536",
                                          "10.1.0.13:99999",
                                          "10.1.0.13:-1",
                                          "10.1.0.13:" + std::string(400, '9'),
                                          "[::1]:8166",
                                          "host:8166",
                                          "10.1.0.13:8166 ",
                                          "\xff\xfe",
                                          std::string(100'000, '['),
                                          std::string(1U << 20U, 'x')};

} // namespace

BOOST_AUTO_TEST_SUITE(entry_registrations_tests)

BOOST_AUTO_TEST_CASE(odd_values_name_no_entry_and_leave_the_others)
{
    for (const auto& odd : odd_values)
    {
        entry_registrations entries;
        entries.replace(
            {{"e/1", "10.1.0.13:7720", 1}, {"e/odd", odd, 1}, {"e/2", "10.1.0.14:7720", 1}});
        BOOST_TEST(entries.addresses().size() == 2U);
        entries.apply(written("e/1", odd));
        BOOST_TEST(!entries.contains("10.1.0.13:7720"));
        BOOST_TEST(entries.contains("10.1.0.14:7720"));
        entries.apply(written("e/1", "10.1.0.15:7720"));
        BOOST_TEST(entries.contains("10.1.0.15:7720"));
    }
}

BOOST_AUTO_TEST_CASE(an_address_stays_registered_while_another_key_names_it)
{
    entry_registrations entries;
    entries.apply(written("e/before", "10.1.0.13:7720"));
    entries.apply(written("e/after", "10.1.0.13:7720"));
    entries.apply({"e/before", std::nullopt});
    BOOST_TEST(entries.contains("10.1.0.13:7720"));
    entries.apply({"e/after", std::nullopt});
    BOOST_TEST(!entries.contains("10.1.0.13:7720"));
}

BOOST_AUTO_TEST_CASE(a_reading_removes_what_it_does_not_list)
{
    entry_registrations entries;
    entries.apply(written("e/1", "10.1.0.13:7720"));
    entries.replace({{"e/2", "10.1.0.14:7720", 4}});
    BOOST_TEST(!entries.contains("10.1.0.13:7720"));
    BOOST_TEST(entries.contains("10.1.0.14:7720"));
}

BOOST_AUTO_TEST_SUITE_END()

#define BOOST_TEST_MODULE tarragonlock
#include <boost/test/unit_test.hpp>

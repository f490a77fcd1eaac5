#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace tarragonlock
{

/// A value, or the std::error_code of the layer that failed.
template<class T>
using result = boost::outcome_v2::std_result<T>;

} // namespace tarragonlock

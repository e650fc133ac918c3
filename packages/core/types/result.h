#pragma once

#include "core/types/errorkind.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace mulberrysail::core {

/** A value or an error. Functions at module boundaries return it instead of
 * throwing. */
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/** @return an error that converts to any Result. */
inline auto
Fail(ErrorKind aKind, std::string aDetail)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aKind, std::move(aDetail) });
}

} // namespace mulberrysail::core

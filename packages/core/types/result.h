#pragma once

#include "core/types/errorkind.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/policy/terminate.hpp>

namespace mulberrysail::core {

/** A value or an error; what crosses a module's border instead of a throw. */
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/** @return the error, ready to be returned as any Result. */
inline auto
Fail(ErrorKind aKind, std::string aDetail)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aKind, std::move(aDetail) });
}

} // namespace mulberrysail::core

#pragma once

namespace mulberrysail::core {

/** A visitor for std::visit, built from one lambda for each alternative. */
template<typename... Visitors>
struct Overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace mulberrysail::core

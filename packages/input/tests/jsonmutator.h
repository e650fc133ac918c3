#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace mulberrysail::input::tests {

/** Changes JSON texts as a faulty or foreign writer might. */
class JsonMutator
{
public:
  explicit JsonMutator(std::uint64_t aSeed);

  /** Applies 1 to 4 random changes: replaces a byte, removes or copies a
   * substring, replaces a value by a boundary value, or nests a value. */
  std::string Mutate(std::string aText);

private:
  void ApplyChange(std::string& aText);
  std::string BoundaryValue();
  /** @return @p aValue inside up to 200,000 arrays or objects. */
  std::string Nested(const std::string& aValue);
  std::size_t RandomBetween(std::size_t aMin, std::size_t aMax);

  boost::random::mt19937_64 m_random;
};

/** Passes mutations of @p aSample to a decoder. Fails the running test on an
 * exception and names the seed, which MULBERRYSAIL_SEED replays. */
void
FuzzDecoder(const std::string& aSample,
            const std::function<void(const std::string&)>& aDecode);

} // namespace mulberrysail::input::tests

#include "input/tests/jsonmutator.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdlib>
#include <exception>

namespace mulberrysail::input::tests {

namespace {

constexpr int kRounds = 20000;
constexpr std::uint64_t kSeed = 20261203;
constexpr std::size_t kMaxChanges = 4;
constexpr std::size_t kDeep = 200'000;
/** One in this many nested values is nested kDeep times, which takes long. */
constexpr std::size_t kDeepOneIn = 50;

struct ValueRange
{
  std::size_t m_begin;
  std::size_t m_size;
};

/** @return the simple value after the first colon from @p aFrom on; empty if
 * there is none. */
ValueRange
FindValue(const std::string& aText, std::size_t aFrom)
{
  const std::size_t colon = aText.find(':', aFrom);
  const std::size_t end = colon == std::string::npos
                            ? std::string::npos
                            : aText.find_first_of(",}]", colon);
  if (end == std::string::npos) {
    return { 0, 0 };
  }
  return { colon + 1, end - colon - 1 };
}

} // namespace

JsonMutator::JsonMutator(std::uint64_t aSeed)
  : m_random(aSeed)
{
}

std::string
JsonMutator::Mutate(std::string aText)
{
  const std::size_t changes = RandomBetween(1, kMaxChanges);
  for (std::size_t i = 0; i < changes && !aText.empty(); ++i) {
    ApplyChange(aText);
  }
  return aText;
}

void
JsonMutator::ApplyChange(std::string& aText)
{
  constexpr std::size_t kMaxSubstring = 20;
  const std::size_t at = RandomBetween(0, aText.size() - 1);
  const ValueRange value = FindValue(aText, at);
  switch (RandomBetween(0, 4)) {
    case 0:
      aText[at] = static_cast<char>(RandomBetween(0, 255));
      break;
    case 1:
      aText.erase(at, RandomBetween(1, kMaxSubstring));
      break;
    case 2:
      aText.insert(
        at, aText.substr(RandomBetween(0, aText.size() - 1), kMaxSubstring));
      break;
    case 3:
      aText.replace(value.m_begin, value.m_size, BoundaryValue());
      break;
    default:
      aText.replace(value.m_begin,
                    value.m_size,
                    Nested(aText.substr(value.m_begin, value.m_size)));
      break;
  }
}

std::string
JsonMutator::BoundaryValue()
{
  constexpr std::array<std::string_view, 16> kValues = {
    "null",
    "true",
    "-1",
    "0",
    "99999",
    "4294967296",
    "1e30",
    "1e400",
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775808",
    "[]",
    "{}",
    "\"\"",
    R"("\u0000")",
    R"("tcp://127.0.0.1:99999")",
  };
  const std::size_t index = RandomBetween(0, kValues.size());
  return index < kValues.size() ? std::string(kValues[index])
                                : '"' + std::string(100'000, 'x') + '"';
}

std::string
JsonMutator::Nested(const std::string& aValue)
{
  const bool deep = RandomBetween(1, kDeepOneIn) == 1;
  const std::size_t depth = deep ? kDeep : RandomBetween(1, 100);
  const bool inObjects = RandomBetween(0, 1) == 1;
  std::string text;
  for (std::size_t i = 0; i < depth; ++i) {
    text += inObjects ? R"({"a":)" : "[";
  }
  return text + aValue + std::string(depth, inObjects ? '}' : ']');
}

std::size_t
JsonMutator::RandomBetween(std::size_t aMin, std::size_t aMax)
{
  return boost::random::uniform_int_distribution<std::size_t>(aMin,
                                                              aMax)(m_random);
}

void
FuzzDecoder(const std::string& aSample,
            const std::function<void(const std::string&)>& aDecode)
{
  constexpr std::size_t kMaxShownBytes = 1000;
  const char* const seedText = std::getenv("MULBERRYSAIL_SEED");
  const std::uint64_t seed =
    seedText == nullptr ? kSeed : std::strtoull(seedText, nullptr, 10);
  JsonMutator mutator(seed);
  for (int i = 0; i < kRounds; ++i) {
    const std::string text = mutator.Mutate(aSample);
    try {
      aDecode(text);
    } catch (const std::exception& error) {
      CPPUNIT_FAIL("seed " + std::to_string(seed) + ", round " +
                   std::to_string(i) + ": " + error.what() + "\n" +
                   text.substr(0, kMaxShownBytes));
    }
  }
}

} // namespace mulberrysail::input::tests

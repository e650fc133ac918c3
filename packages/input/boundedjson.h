#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace mulberrysail::input {

/** Limits of a JSON document that another process wrote. */
struct JsonLimits
{
  /** Longest text, in bytes. */
  std::size_t m_maxBytes = 16UL << 20U;
  /** Most arrays and objects around a value. Copying, comparing and writing a
   * document recurses once for each, so that a deeper document would overflow
   * the stack. */
  std::size_t m_maxDepth = 32;
  /** Most values, including arrays and objects. */
  std::size_t m_maxValues = 1'000'000;
  /** Whether C++ comments are skipped. */
  bool m_allowsComments = false;
};

/** Why a JSON document was refused. */
enum class JsonFault : std::uint8_t
{
  /** No valid JSON in UTF-8, or a number that no type can hold. */
  Malformed,
  TooLong,
  TooDeep,
  TooManyValues,
};

struct JsonError
{
  JsonFault m_fault;
  /** Text for logs and callers, which states what was expected. */
  std::string m_detail;
};

using JsonResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
  nlohmann::json,
  JsonError,
  BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/**
 * Parses a JSON document without recursion. Parsing stops at the first value
 * that exceeds a limit. Of members with the same name, the last one counts.
 * @return the document, or the reason why it was refused.
 */
JsonResult
ParseJson(std::string_view aText, const JsonLimits& aLimits = {});

} // namespace mulberrysail::input

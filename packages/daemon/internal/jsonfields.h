#pragma once

#include "core/types/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/** Reads the fields of one JSON object. Keeps the first error, and reports
 * fields that were never read as unknown. */
class JsonFields
{
public:
  /** @param aPath prefix of the field names in error texts; empty for the top
   * level of the document. */
  JsonFields(const nlohmann::json& aObject, std::string aPath);

  /** @return the text, or nothing if it is absent, no string or longer than
   * @p aMaxBytes. */
  std::optional<std::string> Text(std::string_view aName,
                                  std::size_t aMaxBytes);

  std::optional<std::uint64_t> WholeNumber(std::string_view aName,
                                           std::uint64_t aMin,
                                           std::uint64_t aMax);

  std::optional<double> Number(std::string_view aName,
                               double aMin,
                               double aMax);

  std::optional<bool> Boolean(std::string_view aName);

  /** @return the value if it is present and an array, else null. */
  const nlohmann::json* List(std::string_view aName);

  /** @return the value if it is present and an object, else null. */
  const nlohmann::json* Object(std::string_view aName);

  /** @return the text, or an empty one with an error if it is absent. */
  std::string RequiredText(std::string_view aName, std::size_t aMaxBytes);

  std::uint64_t RequiredWholeNumber(std::string_view aName,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax);

  /** Adds an error found by the caller. Ignored if there is one already. */
  void AddError(std::string_view aName, std::string_view aError);

  /** Checks for unknown fields.
   * @return the first error with the path of its field, or nothing. */
  std::optional<std::string> Finish();

private:
  const nlohmann::json* Find(std::string_view aName);
  void RequirePresent(bool aPresent, std::string_view aName);

  const nlohmann::json& m_object;
  std::string m_path;
  std::optional<std::string> m_firstError;
  std::vector<std::string_view> m_requestedNames;
};

/** @return the document in @p aBody, or nothing if it is not a JSON object. */
std::optional<nlohmann::json>
ParseObject(std::string_view aBody);

/** @return MalformedRequest with the first error, or nothing. */
std::optional<core::Error>
FinishFields(JsonFields& aFields);

} // namespace mulberrysail::daemon

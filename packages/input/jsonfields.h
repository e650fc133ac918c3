#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::input {

/** How a field with the value null is read. */
enum class NullFields : std::uint8_t
{
  /** As a value of the wrong type. */
  Rejected,
  /** As a field that is missing. */
  Missing,
};

/** Reads the fields of one JSON object with their types and ranges. Keeps the
 * first error, and reports fields that were never read as unknown. */
class JsonFields
{
public:
  /** @param aPath prefix of the field names in error texts; empty for the top
   * level of the document. */
  JsonFields(const nlohmann::json& aObject,
             std::string aPath,
             NullFields aNullFields = NullFields::Rejected);

  /** @return the string, or nothing if it is missing. If it is not a string or
   * is longer than @p aMaxBytes, adds an error and returns nothing. */
  std::optional<std::string> Text(std::string_view aName,
                                  std::size_t aMaxBytes);

  /** @return the number, or nothing if it is missing. If it is not a whole
   * number from @p aMin to @p aMax, adds an error and returns nothing. */
  std::optional<std::uint64_t> WholeNumber(std::string_view aName,
                                           std::uint64_t aMin,
                                           std::uint64_t aMax);

  std::optional<double> Number(std::string_view aName,
                               double aMin,
                               double aMax);

  std::optional<bool> Boolean(std::string_view aName);

  /** @return the array, or null if it is missing. If it is not an array, adds
   * an error and returns null. */
  const nlohmann::json* List(std::string_view aName);

  /** @return the object, or null if it is missing. If it is not an object, adds
   * an error and returns null. */
  const nlohmann::json* Object(std::string_view aName);

  /** @return the string. If it is missing or invalid, adds an error and returns
   * an empty string. */
  std::string RequiredText(std::string_view aName, std::size_t aMaxBytes);

  std::uint64_t RequiredWholeNumber(std::string_view aName,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax);

  /** Sets the first error. Has no effect if there is an earlier error. */
  void AddError(std::string_view aName, std::string_view aError);

  /** @return the first error with the path of its field, or nothing. */
  const std::optional<std::string>& FirstError() const { return m_firstError; }

  /** Checks for unknown fields.
   * @return the first error with the path of its field, or nothing. */
  std::optional<std::string> Finish();

private:
  const nlohmann::json* Find(std::string_view aName);
  void RequirePresent(bool aPresent, std::string_view aName);

  const nlohmann::json& m_object;
  std::string m_path;
  NullFields m_nullFields;
  std::optional<std::string> m_firstError;
  std::vector<std::string_view> m_requestedNames;
};

} // namespace mulberrysail::input

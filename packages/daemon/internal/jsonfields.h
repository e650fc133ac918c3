#pragma once

#include "core/types/result.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::daemon {

/** Reads the fields of one JSON object; notes the first fault and rejects
 * fields that were not asked for. */
class JsonFields
{
public:
  /** @param aPath of the object within its document; empty for the top. */
  JsonFields(const nlohmann::json& aObject, std::string aPath);

  /** @return the text, if it is there; at most @p aMaxBytes long. */
  std::optional<std::string> Text(std::string_view aName,
                                  std::size_t aMaxBytes);

  std::optional<std::uint64_t> WholeNumber(std::string_view aName,
                                           std::uint64_t aMin,
                                           std::uint64_t aMax);

  std::optional<double> Number(std::string_view aName,
                               double aMin,
                               double aMax);

  std::optional<bool> Boolean(std::string_view aName);

  /** @return the value, if it is there and an array. */
  const nlohmann::json* List(std::string_view aName);

  /** @return the value, if it is there and an object. */
  const nlohmann::json* Object(std::string_view aName);

  /** @return the text; notes a fault if it is absent. */
  std::string RequiredText(std::string_view aName, std::size_t aMaxBytes);

  std::uint64_t RequiredWholeNumber(std::string_view aName,
                                    std::uint64_t aMin,
                                    std::uint64_t aMax);

  /** Notes a fault found by the caller. */
  void AddError(std::string_view aName, std::string_view aError);

  /** @return the first fault, with its path, unknown fields included. */
  std::optional<std::string> Finish();

private:
  const nlohmann::json* Find(std::string_view aName);
  void RequirePresent(bool aPresent, std::string_view aName);

  const nlohmann::json& m_object;
  std::string m_path;
  std::optional<std::string> m_firstError;
  std::vector<std::string_view> m_requestedNames;
};

/** @return the document in @p aBody, if it is one object. */
std::optional<nlohmann::json>
ParseObject(std::string_view aBody);

/** @return MalformedRequest if there was a fault. */
std::optional<core::Error>
FinishFields(JsonFields& aFields);

} // namespace mulberrysail::daemon

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

  /** @return the text, if it is there; at most @p aMostBytes long. */
  std::optional<std::string> Text(std::string_view aName,
                                  std::size_t aMostBytes);

  std::optional<std::uint64_t> WholeNumber(std::string_view aName,
                                           std::uint64_t aLeast,
                                           std::uint64_t aMost);

  std::optional<double> Number(std::string_view aName,
                               double aLeast,
                               double aMost);

  std::optional<bool> Boolean(std::string_view aName);

  /** @return the value, if it is there and an array. */
  const nlohmann::json* List(std::string_view aName);

  /** @return the value, if it is there and an object. */
  const nlohmann::json* Object(std::string_view aName);

  /** @return the text; notes a fault if it is absent. */
  std::string NeedText(std::string_view aName, std::size_t aMostBytes);

  std::uint64_t NeedWholeNumber(std::string_view aName,
                                std::uint64_t aLeast,
                                std::uint64_t aMost);

  /** Notes a fault found by the caller. */
  void AddFault(std::string_view aName, std::string_view aFault);

  /** @return the first fault, with its path, unknown fields included. */
  std::optional<std::string> Finish();

private:
  const nlohmann::json* Find(std::string_view aName);
  void Need(bool aPresent, std::string_view aName);

  const nlohmann::json& m_object;
  std::string m_path;
  std::optional<std::string> m_fault;
  std::vector<std::string_view> m_known;
};

/** @return the document in @p aBody, if it is one object. */
std::optional<nlohmann::json>
ParseObject(std::string_view aBody);

/** @return MalformedRequest if there was a fault. */
std::optional<core::Error>
FinishFields(JsonFields& aFields);

} // namespace mulberrysail::daemon

#include "input/jsonfields.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::input {

using nlohmann::json;

JsonFields::JsonFields(const json& aObject,
                       std::string aPath,
                       NullFields aNullFields)
  : m_object(aObject)
  , m_path(std::move(aPath))
  , m_nullFields(aNullFields)
{
  if (!m_object.is_object()) {
    m_firstError = m_path + ": expected an object";
  }
}

std::optional<std::string>
JsonFields::Text(std::string_view aName, std::size_t aMaxBytes)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string() ||
      value->get_ref<const std::string&>().size() > aMaxBytes) {
    AddError(aName,
             "expected a text of at most " + std::to_string(aMaxBytes) +
               " bytes");
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<std::uint64_t>
JsonFields::WholeNumber(std::string_view aName,
                        std::uint64_t aMin,
                        std::uint64_t aMax)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_number_unsigned()) {
    const std::uint64_t number = value->get<std::uint64_t>();
    if (number >= aMin && number <= aMax) {
      return number;
    }
  }
  AddError(aName,
           "expected a whole number from " + std::to_string(aMin) + " to " +
             std::to_string(aMax));
  return std::nullopt;
}

std::optional<double>
JsonFields::Number(std::string_view aName, double aMin, double aMax)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_number()) {
    const double number = value->get<double>();
    if (number >= aMin && number <= aMax) {
      return number;
    }
  }
  AddError(aName,
           "expected a number from " + json(aMin).dump() + " to " +
             json(aMax).dump());
  return std::nullopt;
}

std::optional<bool>
JsonFields::Boolean(std::string_view aName)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_boolean()) {
    AddError(aName, "expected true or false");
    return std::nullopt;
  }
  return value->get<bool>();
}

const json*
JsonFields::List(std::string_view aName)
{
  const json* value = Find(aName);
  if (value != nullptr && !value->is_array()) {
    AddError(aName, "expected a list");
    return nullptr;
  }
  return value;
}

const json*
JsonFields::Object(std::string_view aName)
{
  const json* value = Find(aName);
  if (value != nullptr && !value->is_object()) {
    AddError(aName, "expected an object");
    return nullptr;
  }
  return value;
}

std::string
JsonFields::RequiredText(std::string_view aName, std::size_t aMaxBytes)
{
  const std::optional<std::string> text = Text(aName, aMaxBytes);
  RequirePresent(text.has_value(), aName);
  return text.value_or("");
}

std::uint64_t
JsonFields::RequiredWholeNumber(std::string_view aName,
                                std::uint64_t aMin,
                                std::uint64_t aMax)
{
  const std::optional<std::uint64_t> number = WholeNumber(aName, aMin, aMax);
  RequirePresent(number.has_value(), aName);
  return number.value_or(0);
}

void
JsonFields::AddError(std::string_view aName, std::string_view aError)
{
  if (!m_firstError) {
    m_firstError = m_path + std::string(aName) + ": " + std::string(aError);
  }
}

std::optional<std::string>
JsonFields::Finish()
{
  if (m_firstError) {
    return m_firstError;
  }
  for (auto item = m_object.begin(); item != m_object.end(); ++item) {
    if (std::find(m_requestedNames.begin(),
                  m_requestedNames.end(),
                  item.key()) == m_requestedNames.end()) {
      AddError(item.key(), "there is no such field");
    }
  }
  return m_firstError;
}

const json*
JsonFields::Find(std::string_view aName)
{
  m_requestedNames.push_back(aName);
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto found = m_object.find(aName);
  if (found == m_object.end() ||
      (found->is_null() && m_nullFields == NullFields::Missing)) {
    return nullptr;
  }
  return &*found;
}

void
JsonFields::RequirePresent(bool aPresent, std::string_view aName)
{
  if (!aPresent) {
    AddError(aName, "required");
  }
}

} // namespace mulberrysail::input

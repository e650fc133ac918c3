#include "daemon/internal/jsonfields.h"

#include <algorithm>
#include <utility>

namespace mulberrysail::daemon {

using nlohmann::json;

JsonFields::JsonFields(const json& aObject, std::string aPath)
  : m_object(aObject)
  , m_path(std::move(aPath))
{
  if (!m_object.is_object()) {
    m_fault = m_path + ": expected an object";
  }
}

std::optional<std::string>
JsonFields::Text(std::string_view aName, std::size_t aMostBytes)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string() ||
      value->get_ref<const std::string&>().size() > aMostBytes) {
    AddFault(aName,
             "expected a text of at most " + std::to_string(aMostBytes) +
               " bytes");
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<std::uint64_t>
JsonFields::WholeNumber(std::string_view aName,
                        std::uint64_t aLeast,
                        std::uint64_t aMost)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_number_unsigned()) {
    const std::uint64_t number = value->get<std::uint64_t>();
    if (number >= aLeast && number <= aMost) {
      return number;
    }
  }
  AddFault(aName,
           "expected a whole number from " + std::to_string(aLeast) + " to " +
             std::to_string(aMost));
  return std::nullopt;
}

std::optional<double>
JsonFields::Number(std::string_view aName, double aLeast, double aMost)
{
  const json* value = Find(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_number()) {
    const double number = value->get<double>();
    if (number >= aLeast && number <= aMost) {
      return number;
    }
  }
  AddFault(aName,
           "expected a number from " + json(aLeast).dump() + " to " +
             json(aMost).dump());
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
    AddFault(aName, "expected true or false");
    return std::nullopt;
  }
  return value->get<bool>();
}

const json*
JsonFields::List(std::string_view aName)
{
  const json* value = Find(aName);
  if (value != nullptr && !value->is_array()) {
    AddFault(aName, "expected a list");
    return nullptr;
  }
  return value;
}

const json*
JsonFields::Object(std::string_view aName)
{
  const json* value = Find(aName);
  if (value != nullptr && !value->is_object()) {
    AddFault(aName, "expected an object");
    return nullptr;
  }
  return value;
}

std::string
JsonFields::NeedText(std::string_view aName, std::size_t aMostBytes)
{
  const std::optional<std::string> text = Text(aName, aMostBytes);
  Need(text.has_value(), aName);
  return text.value_or("");
}

std::uint64_t
JsonFields::NeedWholeNumber(std::string_view aName,
                            std::uint64_t aLeast,
                            std::uint64_t aMost)
{
  const std::optional<std::uint64_t> number = WholeNumber(aName, aLeast, aMost);
  Need(number.has_value(), aName);
  return number.value_or(0);
}

void
JsonFields::AddFault(std::string_view aName, std::string_view aFault)
{
  if (!m_fault) {
    m_fault = m_path + std::string(aName) + ": " + std::string(aFault);
  }
}

std::optional<std::string>
JsonFields::Finish()
{
  if (m_fault) {
    return m_fault;
  }
  for (auto item = m_object.begin(); item != m_object.end(); ++item) {
    if (std::find(m_known.begin(), m_known.end(), item.key()) ==
        m_known.end()) {
      AddFault(item.key(), "there is no such field");
    }
  }
  return m_fault;
}

const json*
JsonFields::Find(std::string_view aName)
{
  m_known.push_back(aName);
  if (!m_object.is_object()) {
    return nullptr;
  }
  const auto found = m_object.find(aName);
  return found == m_object.end() ? nullptr : &*found;
}

void
JsonFields::Need(bool aPresent, std::string_view aName)
{
  if (!aPresent) {
    AddFault(aName, "required");
  }
}

std::optional<json>
ParseObject(std::string_view aBody)
{
  json document = json::parse(aBody, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  return document;
}

std::optional<core::Error>
FinishFields(JsonFields& aFields)
{
  std::optional<std::string> fault = aFields.Finish();
  if (!fault) {
    return std::nullopt;
  }
  return core::Error{ core::ErrorKind::MalformedRequest, std::move(*fault) };
}

} // namespace mulberrysail::daemon

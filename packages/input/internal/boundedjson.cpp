#include "input/boundedjson.h"

#include <optional>
#include <utility>
#include <vector>

namespace mulberrysail::input {

namespace {

using nlohmann::json;

JsonError
TooLong(std::size_t aMax)
{
  return { JsonFault::TooLong,
           "expected a text of at most " + std::to_string(aMax) + " bytes" };
}

JsonError
TooDeep(std::size_t aMax)
{
  return { JsonFault::TooDeep,
           "expected at most " + std::to_string(aMax) + " levels of nesting" };
}

JsonError
TooManyValues(std::size_t aMax)
{
  return { JsonFault::TooManyValues,
           "expected at most " + std::to_string(aMax) + " values" };
}

/** Builds a document from the events of the parser, within limits. */
class DocumentBuilder : public nlohmann::json_sax<json>
{
public:
  explicit DocumentBuilder(const JsonLimits& aLimits)
    : m_limits(aLimits)
  {
  }

  json TakeDocument() { return std::move(m_root); }

  const std::optional<JsonError>& Error() const { return m_error; }

  // The names are the library's.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return Add(nullptr) != nullptr; }
  bool boolean(bool aValue) override { return Add(aValue) != nullptr; }
  bool number_integer(number_integer_t aValue) override
  {
    return Add(aValue) != nullptr;
  }
  bool number_unsigned(number_unsigned_t aValue) override
  {
    return Add(aValue) != nullptr;
  }
  bool number_float(number_float_t aValue, const string_t& /*aText*/) override
  {
    return Add(aValue) != nullptr;
  }
  bool string(string_t& aValue) override
  {
    return Add(std::move(aValue)) != nullptr;
  }
  bool binary(binary_t& aValue) override
  {
    return Add(std::move(aValue)) != nullptr;
  }
  bool start_object(std::size_t /*aSize*/) override
  {
    return Open(json::object());
  }
  bool start_array(std::size_t /*aSize*/) override
  {
    return Open(json::array());
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool key(string_t& aName) override
  {
    m_member = &(*m_open.back())[std::move(aName)];
    return true;
  }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aLastToken*/,
                   const json::exception& aError) override
  {
    m_error = JsonError{ JsonFault::Malformed, aError.what() };
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  /** Adds a value where the parser stands.
   * @return the value in the document; null if there are too many. */
  json* Add(json aValue)
  {
    if (++m_values > m_limits.m_maxValues) {
      m_error = TooManyValues(m_limits.m_maxValues);
      return nullptr;
    }
    if (m_open.empty()) {
      m_root = std::move(aValue);
      return &m_root;
    }
    if (m_open.back()->is_array()) {
      m_open.back()->push_back(std::move(aValue));
      return &m_open.back()->back();
    }
    *m_member = std::move(aValue);
    return m_member;
  }

  bool Open(json aContainer)
  {
    if (m_open.size() >= m_limits.m_maxDepth) {
      m_error = TooDeep(m_limits.m_maxDepth);
      return false;
    }
    json* const added = Add(std::move(aContainer));
    if (added == nullptr) {
      return false;
    }
    m_open.push_back(added);
    return true;
  }

  bool Close()
  {
    m_open.pop_back();
    return true;
  }

  const JsonLimits m_limits;
  json m_root;
  /** The arrays and objects around the next value, the outermost first. Only
   * the last one grows, so that the pointers stay valid. */
  std::vector<json*> m_open;
  /** The member of the innermost object that gets the next value. */
  json* m_member = nullptr;
  std::size_t m_values = 0;
  std::optional<JsonError> m_error;
};

} // namespace

JsonResult
ParseJson(std::string_view aText, const JsonLimits& aLimits)
{
  if (aText.size() > aLimits.m_maxBytes) {
    return TooLong(aLimits.m_maxBytes);
  }
  DocumentBuilder builder(aLimits);
  const bool parsed = json::sax_parse(aText.begin(),
                                      aText.end(),
                                      &builder,
                                      json::input_format_t::json,
                                      true,
                                      aLimits.m_allowsComments);
  if (!parsed) {
    return builder.Error().value_or(
      JsonError{ JsonFault::Malformed, "the document can't be parsed" });
  }
  return builder.TakeDocument();
}

} // namespace mulberrysail::input

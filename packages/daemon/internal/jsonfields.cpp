#include "daemon/internal/jsonfields.h"

#include "input/boundedjson.h"

#include <utility>

namespace mulberrysail::daemon {

using nlohmann::json;

std::optional<json>
ParseObject(std::string_view aBody)
{
  input::JsonResult document =
    input::ParseJson(aBody, { .m_maxBytes = aBody.size() });
  if (document.has_error() || !document.value().is_object()) {
    return std::nullopt;
  }
  return std::move(document).value();
}

std::optional<core::Error>
FinishFields(JsonFields& aFields)
{
  std::optional<std::string> error = aFields.Finish();
  if (!error) {
    return std::nullopt;
  }
  return core::Error{ core::ErrorKind::MalformedRequest, std::move(*error) };
}

} // namespace mulberrysail::daemon

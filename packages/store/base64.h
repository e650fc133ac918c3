#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mulberrysail::store {

std::string
EncodeBase64(std::string_view aData);

/** @return the decoded data; nothing if @p aText is not well-formed base64. */
std::optional<std::string>
DecodeBase64(std::string_view aText);

} // namespace mulberrysail::store

#pragma once

#include <string>
#include <string_view>

namespace mulberrysail::standins {

/** @return @p aBytes in base64 with padding. */
std::string
EncodeBase64(std::string_view aBytes);

/** @return the bytes behind @p aText.
 * @throws std::invalid_argument if it isn't base64. */
std::string
DecodeBase64(std::string_view aText);

} // namespace mulberrysail::standins

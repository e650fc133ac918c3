#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace mulberrysail::input {

/** The format that a string value must have. */
enum class TextForm : std::uint8_t
{
  Any,
  /** 1 to 64 letters, digits, dots, underscores and hyphens. */
  Name,
  /** A numeric IP address. */
  Address,
  /** IP:PORT */
  ListenAddress,
  /** http://HOST:PORT */
  HttpUrl,
  /** tcp://IP:PORT */
  MessageUrl,
};

/** @return whether @p aText has the form @p aForm. */
bool
HasForm(std::string_view aText, TextForm aForm);

/** @return a description of @p aForm for error texts. */
std::string
DescribeForm(TextForm aForm);

} // namespace mulberrysail::input

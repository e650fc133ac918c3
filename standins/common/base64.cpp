#include "standins/common/base64.h"

#include <cstdint>
#include <stdexcept>

namespace mulberrysail::standins {

namespace {

constexpr std::string_view kAlphabet =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupDigits = 4;
constexpr unsigned kBitsOfDigit = 6;
constexpr unsigned kBitsOfByte = 8;

std::uint32_t
DigitValue(char aDigit)
{
  const std::size_t value = kAlphabet.find(aDigit);
  if (value == std::string_view::npos) {
    throw std::invalid_argument("not base64");
  }
  return static_cast<std::uint32_t>(value);
}

} // namespace

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text;
  for (std::size_t i = 0; i < aBytes.size(); i += kGroupBytes) {
    const std::string_view group = aBytes.substr(i, kGroupBytes);
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < kGroupBytes; ++k) {
      const char byte = k < group.size() ? group[k] : '\0';
      bits = (bits << kBitsOfByte) | static_cast<unsigned char>(byte);
    }
    for (std::size_t k = 0; k < kGroupDigits; ++k) {
      const unsigned shift =
        kBitsOfDigit * static_cast<unsigned>(kGroupDigits - 1 - k);
      const char digit = kAlphabet[(bits >> shift) % kAlphabet.size()];
      text.push_back(k <= group.size() ? digit : '=');
    }
  }
  return text;
}

std::string
DecodeBase64(std::string_view aText)
{
  while (aText.ends_with('=')) {
    aText.remove_suffix(1);
  }
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned held = 0;
  for (const char digit : aText) {
    bits = (bits << kBitsOfDigit) | DigitValue(digit);
    held += kBitsOfDigit;
    if (held >= kBitsOfByte) {
      held -= kBitsOfByte;
      bytes.push_back(static_cast<char>((bits >> held) & 0xFFU));
    }
  }
  return bytes;
}

} // namespace mulberrysail::standins

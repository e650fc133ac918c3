#include "store/base64.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/dataflow_exception.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace mulberrysail::store {

namespace {

namespace iterators = boost::archive::iterators;

constexpr std::size_t kCharsPerGroup = 4;

using Encoder =
  iterators::base64_from_binary<iterators::transform_width<const char*, 6, 8>>;
using Decoder =
  iterators::transform_width<iterators::binary_from_base64<const char*>, 8, 6>;

} // namespace

std::string
EncodeBase64(std::string_view aData)
{
  const char* const begin = aData.data();
  std::string text(Encoder(begin), Encoder(begin + aData.size()));
  while (text.size() % kCharsPerGroup != 0) {
    text += '=';
  }
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % kCharsPerGroup != 0) {
    return std::nullopt;
  }
  std::string text(aText);
  std::size_t padding = 0;
  // The Boost iterators do not handle padding. 'A' decodes to zero bits, which
  // are cut off below.
  while (padding < 2 && padding < text.size() &&
         text[text.size() - 1 - padding] == '=') {
    text[text.size() - 1 - padding] = 'A';
    ++padding;
  }
  if (text.find('=') != std::string::npos) {
    return std::nullopt;
  }
  try {
    const char* const begin = text.data();
    std::string data(Decoder(begin), Decoder(begin + text.size()));
    data.resize(data.size() - padding);
    return data;
  } catch (const iterators::dataflow_exception&) {
    return std::nullopt;
  }
}

} // namespace mulberrysail::store

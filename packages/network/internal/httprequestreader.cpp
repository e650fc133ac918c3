#include "network/internal/httprequestreader.h"

#include "network/errorresponse.h"

#include <restinio/uri_helpers.hpp>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <utility>

namespace mulberrysail::network {

namespace {

std::string
ToLower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return aText;
}

/** @return the path with its percent escapes decoded. RESTinio decodes form
 * data, in which a plus sign stands for a space; in a path it is literal, so
 * that it is escaped first. */
std::string
DecodePath(std::string_view aPath)
{
  std::string path;
  for (const char character : aPath) {
    if (character == '+') {
      path += "%2B";
    } else {
      path += character;
    }
  }
  return restinio::utils::unescape_percent_encoding<
    restinio::utils::relaxed_unescape_traits>(path);
}

std::uint64_t
HeadSize(const restinio::http_request_header_t& aHeader)
{
  std::uint64_t size = aHeader.request_target().size();
  aHeader.for_each_field([&](const restinio::http_header_field_t& aField) {
    size += aField.name().size() + aField.value().size();
  });
  return size;
}

} // namespace

HttpRequest
ReadRequest(const restinio::request_t& aRequest)
{
  const restinio::http_request_header_t& header = aRequest.header();
  HttpRequest request;
  request.m_method = std::string(header.method().c_str());
  request.m_path = DecodePath(header.path());
  for (const auto& [name, value] :
       restinio::parse_query<restinio::parse_query_traits::relaxed>(
         header.query())) {
    request.m_query.insert_or_assign(std::string(name), std::string(value));
  }
  header.for_each_field([&](const restinio::http_header_field_t& aField) {
    const auto [field, isNew] =
      request.m_headers.try_emplace(ToLower(aField.name()), aField.value());
    if (!isNew) {
      field->second += ", " + aField.value();
    }
  });
  request.m_body = aRequest.body();
  return request;
}

std::optional<HttpResponse>
CheckSizeLimits(const HttpServerOptions& aOptions,
                const restinio::request_t& aRequest)
{
  if (aRequest.body().size() > aOptions.m_maxBodyBytes) {
    return MakeErrorResponse(core::ErrorKind::BodyTooLarge, {});
  }
  if (HeadSize(aRequest.header()) > aOptions.m_maxHeaderBytes) {
    HttpResponse response =
      MakeErrorResponse(core::ErrorKind::MalformedRequest,
                        { .m_detail = "the head is over the size limit" });
    response.m_status = 431;
    return response;
  }
  return std::nullopt;
}

} // namespace mulberrysail::network

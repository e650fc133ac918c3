#include "network/internal/httptransfer.h"

#include <utility>

namespace mulberrysail::network {

namespace {

/** Shorter than the time that servers keep an idle connection, so that a
 * request is rarely sent on a connection that is being closed. */
constexpr long kMaxIdleSeconds = 10;
constexpr long kNoContentStatus = 204;
constexpr long kNotModifiedStatus = 304;

} // namespace

HttpTransfer::HttpTransfer(HttpCall aCall,
                           HttpChunkHandler aOnChunk,
                           HttpCallback aCallback,
                           std::uint64_t aMaxBodyBytes)
  : m_call(std::move(aCall))
  , m_onChunk(std::move(aOnChunk))
  , m_callback(std::move(aCallback))
  , m_maxBodyBytes(aMaxBodyBytes)
{
}

CURL*
HttpTransfer::Prepare()
{
  m_easy.reset(curl_easy_init());
  if (m_easy) {
    SetOptions();
    SetHeaders();
  }
  return m_easy.get();
}

void
HttpTransfer::SetOptions()
{
  CURL* const easy = m_easy.get();
  curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
  curl_easy_setopt(easy, CURLOPT_URL, m_call.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(
    easy, CURLOPT_TIMEOUT_MS, static_cast<long>(m_call.m_timeout.count()));
  curl_easy_setopt(easy,
                   CURLOPT_CONNECTTIMEOUT_MS,
                   static_cast<long>(m_call.m_connectTimeout.count()));
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &HttpTransfer::OnHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &HttpTransfer::OnData);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(
    easy, CURLOPT_PREREQFUNCTION, &HttpTransfer::OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
  if (m_call.m_method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (m_call.m_method != "GET" || !m_call.m_body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, m_call.m_body.data());
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(m_call.m_body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, m_call.m_method.c_str());
}

void
HttpTransfer::SetHeaders()
{
  m_call.m_headers.try_emplace("Content-Type", "application/json");
  // An empty value removes the field that libcurl adds by default.
  m_call.m_headers.insert_or_assign("Expect", "");
  for (const auto& [name, value] : m_call.m_headers) {
    std::string line = name;
    line.append(": ").append(value);
    curl_slist* const longer = curl_slist_append(m_headers.get(), line.c_str());
    if (longer != nullptr) {
      static_cast<void>(m_headers.release());
      m_headers.reset(longer);
    }
  }
  curl_easy_setopt(m_easy.get(), CURLOPT_HTTPHEADER, m_headers.get());
}

HttpTransfer::Clock::time_point
HttpTransfer::IdleDeadline() const
{
  const bool isAwaitingResponse =
    !m_responseBegan && m_call.m_responseTimeout.count() > 0;
  const std::chrono::milliseconds limit =
    isAwaitingResponse ? m_call.m_responseTimeout : m_call.m_idleTimeout;
  return limit.count() == 0 ? Clock::time_point::max() : m_lastDataAt + limit;
}

void
HttpTransfer::RecordReceived()
{
  m_responseBegan = true;
  m_lastDataAt = Clock::now();
}

std::size_t
HttpTransfer::OnHeader(char* /*aData*/,
                       std::size_t aSize,
                       std::size_t aCount,
                       void* aSelf)
{
  static_cast<HttpTransfer*>(aSelf)->RecordReceived();
  return aSize * aCount;
}

std::size_t
HttpTransfer::OnData(char* aData,
                     std::size_t aSize,
                     std::size_t aCount,
                     void* aSelf)
{
  const std::size_t size = aSize * aCount;
  HttpTransfer* const self = static_cast<HttpTransfer*>(aSelf);
  return self->ConsumeData(std::string_view(aData, size)) ? size : size + 1;
}

bool
HttpTransfer::ConsumeData(std::string_view aData)
{
  RecordReceived();
  if (m_onChunk) {
    const bool wanted = m_onChunk(aData);
    m_abortReason = wanted ? "" : "stream ended by the chunk handler";
    return wanted;
  }
  if (m_body.size() + aData.size() > m_maxBodyBytes) {
    m_abortReason = "the answer's body is over the size limit";
    return false;
  }
  m_body.append(aData);
  return true;
}

/** Called by libcurl each time before it sends the request. libcurl resends a
 * request by itself if a reused connection ends without a response; a resend is
 * safe only while no byte of the request has been sent. */
int
HttpTransfer::OnBeforeRequest(void* aSelf,
                              char* /*aRemoteIp*/,
                              char* /*aLocalIp*/,
                              int /*aRemotePort*/,
                              int /*aLocalPort*/)
{
  HttpTransfer* const self = static_cast<HttpTransfer*>(aSelf);
  if (self->NothingSent()) {
    return CURL_PREREQFUNC_OK;
  }
  self->m_abortReason = "the connection ended before the answer";
  return CURL_PREREQFUNC_ABORT;
}

bool
HttpTransfer::NothingSent() const
{
  // libcurl counts the bytes over all connections that the call used.
  long sent = 0;
  const CURLcode code =
    curl_easy_getinfo(m_easy.get(), CURLINFO_REQUEST_SIZE, &sent);
  return code == CURLE_OK && sent == 0;
}

bool
HttpTransfer::HasBodyLength() const
{
  long status = 0;
  curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
  if (m_call.m_method == "HEAD" || status == kNoContentStatus ||
      status == kNotModifiedStatus) {
    return true;
  }
  curl_off_t length = -1;
  curl_easy_getinfo(m_easy.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  curl_header* encoding = nullptr;
  return length >= 0 ||
         curl_easy_header(
           m_easy.get(), "Transfer-Encoding", 0, CURLH_HEADER, -1, &encoding) ==
           CURLHE_OK;
}

std::string
HttpTransfer::DescribeProgress() const
{
  const std::chrono::milliseconds age =
    std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                          m_createdAt);
  return ", after " + std::to_string(age.count()) + " ms and " +
         std::to_string(m_body.size()) + " bytes of body";
}

void
HttpTransfer::Finish(CURLcode aCode, std::string aDetail)
{
  HttpOutcome outcome;
  if (aCode == CURLE_OK && HasBodyLength()) {
    long status = 0;
    curl_easy_getinfo(m_easy.get(), CURLINFO_RESPONSE_CODE, &status);
    outcome.m_delivery = HttpDelivery::Answered;
    outcome.m_status = static_cast<int>(status);
    outcome.m_body = std::move(m_body);
  } else {
    const bool nothingSent = !m_easy || NothingSent();
    outcome.m_delivery =
      nothingSent ? HttpDelivery::NeverSent : HttpDelivery::Lost;
    outcome.m_detail = !aDetail.empty()         ? std::move(aDetail)
                       : !m_abortReason.empty() ? m_abortReason
                       : aCode == CURLE_OK
                         ? "the answer doesn't tell where it ends"
                         : curl_easy_strerror(aCode);
    outcome.m_detail += DescribeProgress();
  }
  m_callback(std::move(outcome));
}

} // namespace mulberrysail::network

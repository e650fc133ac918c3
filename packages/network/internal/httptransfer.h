#pragma once

#include "network/ihttpclient.h"

#include <curl/curl.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace mulberrysail::network {

/** One call in progress, with its libcurl handle. */
class HttpTransfer
{
public:
  using Clock = std::chrono::steady_clock;

  HttpTransfer(HttpCall aCall,
               HttpChunkHandler aOnChunk,
               HttpCallback aCallback,
               std::uint64_t aMaxBodyBytes);

  HttpTransfer(const HttpTransfer&) = delete;
  HttpTransfer& operator=(const HttpTransfer&) = delete;

  /** Creates and configures the handle.
   * @return null if libcurl could not allocate the handle. */
  CURL* Prepare();
  CURL* Handle() const { return m_easy.get(); }

  /** @return the time at which the call ends unless data is received before;
   * the maximum if it has no such limit. */
  Clock::time_point IdleDeadline() const;

  /** Passes the outcome to the callback. Must be called exactly once.
   * @param aCode result of the transfer as reported by libcurl.
   * @param aDetail replaces libcurl's error text, unless it is empty. */
  void Finish(CURLcode aCode, std::string aDetail);

private:
  struct EasyDeleter
  {
    void operator()(CURL* aEasy) const { curl_easy_cleanup(aEasy); }
  };
  struct ListDeleter
  {
    void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
  };

  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aSelf);
  static std::size_t OnData(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf);
  static int OnBeforeRequest(void* aSelf,
                             char* aRemoteIp,
                             char* aLocalIp,
                             int aRemotePort,
                             int aLocalPort);

  void SetOptions();
  void SetHeaders();
  void RecordReceived();
  /** @return false to abort the transfer. */
  bool ConsumeData(std::string_view aData);
  bool NothingSent() const;
  /** @return the age of the call and the size of the body received so far. */
  std::string DescribeProgress() const;
  /** @return whether the response delimits its body by other means than the
   * end of the connection. */
  bool HasBodyLength() const;

  HttpCall m_call;
  HttpChunkHandler m_onChunk;
  HttpCallback m_callback;
  std::uint64_t m_maxBodyBytes;
  std::unique_ptr<curl_slist, ListDeleter> m_headers;
  std::unique_ptr<CURL, EasyDeleter> m_easy;
  std::string m_body;
  std::string m_abortReason;
  const Clock::time_point m_createdAt = Clock::now();
  /** When the last header or part of the body was received; m_createdAt before
   * the response begins. */
  Clock::time_point m_lastDataAt = m_createdAt;
  bool m_responseBegan = false;
};

} // namespace mulberrysail::network

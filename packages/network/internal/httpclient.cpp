#include "network/ihttpclient.h"

#include "network/internal/httptransfer.h"

#include <algorithm>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mulberrysail::network {

namespace {

/** Longest wait before idle calls are checked again. */
constexpr std::chrono::milliseconds kMaxPoll{ 1000 };

/** Initializes libcurl once per process. */
void
InitializeLibrary()
{
  static std::once_flag sOnce;
  std::call_once(sOnce, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

struct MultiDeleter
{
  void operator()(CURLM* aMulti) const { curl_multi_cleanup(aMulti); }
};

class HttpClient : public IHttpClient
{
public:
  explicit HttpClient(const HttpClientOptions& aOptions)
    : m_options(aOptions)
    , m_multi(curl_multi_init())
  {
    curl_multi_setopt(m_multi.get(),
                      CURLMOPT_MAXCONNECTS,
                      static_cast<long>(m_options.m_maxIdleConnections));
    curl_multi_setopt(m_multi.get(),
                      CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(m_options.m_maxConnectionsPerHost));
    curl_multi_setopt(m_multi.get(), CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    m_thread = std::thread([this] { Run(); });
  }

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  ~HttpClient() override { Stop(); }

  void Call(HttpCall aCall, HttpCallback aCallback) override
  {
    Enqueue(std::make_unique<HttpTransfer>(std::move(aCall),
                                           HttpChunkHandler(),
                                           std::move(aCallback),
                                           m_options.m_maxBodyBytes));
  }

  void Stream(HttpCall aCall,
              HttpChunkHandler aOnChunk,
              HttpCallback aCallback) override
  {
    Enqueue(std::make_unique<HttpTransfer>(std::move(aCall),
                                           std::move(aOnChunk),
                                           std::move(aCallback),
                                           m_options.m_maxBodyBytes));
  }

  void Stop() override
  {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    curl_multi_wakeup(m_multi.get());
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

private:
  using TransferPtr = std::unique_ptr<HttpTransfer>;

  void Enqueue(TransferPtr aTransfer)
  {
    if (!AddToQueue(aTransfer)) {
      aTransfer->Finish(CURLE_ABORTED_BY_CALLBACK, "the client has stopped");
      return;
    }
    curl_multi_wakeup(m_multi.get());
  }

  /** @return false if the client has stopped; @p aTransfer is then unchanged.
   */
  bool AddToQueue(TransferPtr& aTransfer)
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopping) {
      return false;
    }
    m_queue.push_back(std::move(aTransfer));
    return true;
  }

  void Run()
  {
    while (StartQueued()) {
      int running = 0;
      curl_multi_perform(m_multi.get(), &running);
      FinishCompleted();
      const int wait = static_cast<int>(EndIdleCalls().count());
      curl_multi_poll(m_multi.get(), nullptr, 0, wait, nullptr);
    }
    AbortAll();
  }

  /** Starts the queued transfers.
   * @return false when the client is stopping. */
  bool StartQueued()
  {
    std::vector<TransferPtr> queue;
    bool stopping = false;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      queue.swap(m_queue);
      stopping = m_stopping;
    }
    for (TransferPtr& transfer : queue) {
      StartTransfer(std::move(transfer));
    }
    return !stopping;
  }

  void StartTransfer(TransferPtr aTransfer)
  {
    CURL* const easy = aTransfer->Prepare();
    if (easy == nullptr ||
        curl_multi_add_handle(m_multi.get(), easy) != CURLM_OK) {
      aTransfer->Finish(CURLE_OUT_OF_MEMORY, "");
      return;
    }
    if (aTransfer->IdleDeadline() != HttpTransfer::Clock::time_point::max()) {
      m_idleChecked.emplace(easy, aTransfer.get());
    }
    m_transfers.emplace(easy, std::move(aTransfer));
  }

  void FinishCompleted()
  {
    int left = 0;
    while (CURLMsg* const message =
             curl_multi_info_read(m_multi.get(), &left)) {
      if (message->msg == CURLMSG_DONE) {
        // Copied because removing the handle destroys the message.
        const CURLcode code = message->data.result;
        EndTransfer(message->easy_handle, code, "");
      }
    }
  }

  void EndTransfer(CURL* aEasy, CURLcode aCode, std::string aDetail)
  {
    const auto found = m_transfers.find(aEasy);
    const TransferPtr transfer = std::move(found->second);
    m_transfers.erase(found);
    m_idleChecked.erase(aEasy);
    curl_multi_remove_handle(m_multi.get(), aEasy);
    transfer->Finish(aCode, std::move(aDetail));
  }

  /** Ends the calls whose idle or response timeout has expired.
   * @return how long the thread may wait for events. */
  std::chrono::milliseconds EndIdleCalls()
  {
    const HttpTransfer::Clock::time_point now = HttpTransfer::Clock::now();
    std::chrono::milliseconds wait = kMaxPoll;
    std::vector<CURL*> idle;
    for (const auto& [easy, transfer] : m_idleChecked) {
      const HttpTransfer::Clock::time_point end = transfer->IdleDeadline();
      if (end <= now) {
        idle.push_back(easy);
      } else if (end - now < kMaxPoll) {
        wait = std::min(
          wait, std::chrono::ceil<std::chrono::milliseconds>(end - now));
      }
    }
    for (CURL* const easy : idle) {
      EndTransfer(easy, CURLE_OPERATION_TIMEDOUT, "no data received in time");
    }
    return wait;
  }

  void AbortAll()
  {
    while (!m_transfers.empty()) {
      EndTransfer(m_transfers.begin()->first,
                  CURLE_ABORTED_BY_CALLBACK,
                  "the client has stopped");
    }
  }

  const HttpClientOptions m_options;
  std::unique_ptr<CURLM, MultiDeleter> m_multi;
  std::unordered_map<CURL*, TransferPtr> m_transfers;
  /** Transfers with an idle timeout. */
  std::unordered_map<CURL*, HttpTransfer*> m_idleChecked;
  std::mutex m_mutex;
  std::vector<TransferPtr> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace

std::unique_ptr<IHttpClient>
StartHttpClient(const HttpClientOptions& aOptions)
{
  InitializeLibrary();
  return std::make_unique<HttpClient>(aOptions);
}

} // namespace mulberrysail::network

#include "store/etcdstore.h"

#include "store/internal/etcdjson.h"
#include "store/internal/watchreader.h"

#include <atomic>
#include <utility>

namespace mulberrysail::store {

namespace {

using network::HttpDelivery;
using network::HttpOutcome;

constexpr int kHttpOk = 200;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpFirstClientError = 400;
constexpr int kHttpFirstServerError = 500;

/** When a failed call may be retried on another member. */
enum class RetryPolicy : std::uint8_t
{
  Always,
  IfNeverSent,
};

/** Sends calls to the members of the etcd cluster. Pending calls share the
 * ownership, so that they can complete after the store was destroyed. */
class Members : public std::enable_shared_from_this<Members>
{
public:
  Members(EtcdOptions aOptions, network::IHttpClient& aClient)
    : m_options(std::move(aOptions))
    , m_client(aClient)
  {
  }

  void Send(const std::string& aPath,
            const std::string& aBody,
            RetryPolicy aRetryPolicy,
            network::HttpCallback aCallback)
  {
    SendToNextMember({ aPath,
                       aBody,
                       aRetryPolicy,
                       std::move(aCallback),
                       m_preferredMember.load() },
                     0);
  }

  void Watch(const std::string& aBody,
             std::function<void(StoredValue)> aOnChange,
             std::function<void(core::Error)> aOnEnd)
  {
    const std::size_t member = m_preferredMember.load();
    network::HttpCall call = MakeCall(member, "/v3/watch", aBody);
    call.m_timeout = std::chrono::milliseconds(0);
    call.m_idleTimeout = m_options.m_watchIdleTimeout;
    const std::shared_ptr<WatchReader> reader =
      std::make_shared<WatchReader>(std::move(aOnChange));
    m_calls.fetch_add(1);
    m_client.Stream(
      std::move(call),
      [reader](std::string_view aChunk) { return reader->Append(aChunk); },
      [self = shared_from_this(), reader, member, onEnd = std::move(aOnEnd)](
        const HttpOutcome& aOutcome) {
        self->m_preferredMember.store(member + 1);
        onEnd(reader->EndReason().value_or(UnavailableError(aOutcome)));
      });
  }

  std::uint64_t Calls() const { return m_calls.load(); }

  static core::Error UnavailableError(const HttpOutcome& aOutcome)
  {
    constexpr std::size_t kMaxDetail = 200;
    if (aOutcome.m_delivery != HttpDelivery::Answered) {
      return { core::ErrorKind::StoreUnavailable, aOutcome.m_detail };
    }
    return { core::ErrorKind::StoreUnavailable,
             "the store answered " + std::to_string(aOutcome.m_status) + " " +
               aOutcome.m_body.substr(0, kMaxDetail) };
  }

private:
  struct Request
  {
    std::string m_path;
    std::string m_body;
    RetryPolicy m_retryPolicy;
    network::HttpCallback m_callback;
    std::size_t m_firstMember;
  };

  /** Calls the next member that was not tried yet. */
  void SendToNextMember(Request aRequest, std::size_t aMembersTried)
  {
    const std::size_t member = aRequest.m_firstMember + aMembersTried;
    network::HttpCall call = MakeCall(member, aRequest.m_path, aRequest.m_body);
    m_calls.fetch_add(1);
    m_client.Call(
      std::move(call),
      [self = shared_from_this(),
       request = std::move(aRequest),
       member,
       membersTried = aMembersTried + 1](HttpOutcome aOutcome) mutable {
        const bool succeeded = aOutcome.m_delivery == HttpDelivery::Answered &&
                               aOutcome.m_status == kHttpOk;
        self->m_preferredMember.store(succeeded ? member : member + 1);
        const bool retryable = request.m_retryPolicy == RetryPolicy::Always ||
                               aOutcome.m_delivery == HttpDelivery::NeverSent;
        if (!succeeded && retryable &&
            membersTried < self->m_options.m_urls.size()) {
          self->SendToNextMember(std::move(request), membersTried);
          return;
        }
        request.m_callback(std::move(aOutcome));
      });
  }

  network::HttpCall MakeCall(std::size_t aMember,
                             const std::string& aPath,
                             const std::string& aBody) const
  {
    network::HttpCall call;
    call.m_url = m_options.m_urls[aMember % m_options.m_urls.size()] + aPath;
    call.m_body = aBody;
    call.m_timeout = m_options.m_callTimeout;
    call.m_responseTimeout = m_options.m_timeout;
    call.m_idleTimeout = m_options.m_timeout;
    call.m_connectTimeout = m_options.m_connectTimeout;
    return call;
  }

  const EtcdOptions m_options;
  network::IHttpClient& m_client;
  /** Index of the member to call first, modulo the number of members: the
   * member of the last successful call, or the member after the last one that
   * failed. */
  std::atomic<std::size_t> m_preferredMember{ 0 };
  std::atomic<std::uint64_t> m_calls{ 0 };
};

/** @return the outcome of a write that did not get a 200 response: NotWritten
 * only if the write was certainly not applied. */
WriteOutcome
ClassifyFailedWrite(const HttpOutcome& aOutcome)
{
  const bool rejected = aOutcome.m_delivery == HttpDelivery::Answered &&
                        aOutcome.m_status >= kHttpFirstClientError &&
                        aOutcome.m_status < kHttpFirstServerError &&
                        aOutcome.m_status != kHttpRequestTimeout;
  return rejected || aOutcome.m_delivery == HttpDelivery::NeverSent
           ? WriteOutcome::NotWritten
           : WriteOutcome::Uncertain;
}

bool
IsOk(const HttpOutcome& aOutcome)
{
  return aOutcome.m_delivery == HttpDelivery::Answered &&
         aOutcome.m_status == kHttpOk;
}

/** Parses the body of a 200 response with @p aParse; other outcomes become a
 * StoreUnavailable error. */
template<typename T>
core::Result<T>
ParseResponse(const HttpOutcome& aOutcome,
              core::Result<T> (*aParse)(std::string_view))
{
  if (!IsOk(aOutcome)) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(
      Members::UnavailableError(aOutcome));
  }
  return aParse(aOutcome.m_body);
}

class EtcdStore : public IStore
{
public:
  explicit EtcdStore(std::shared_ptr<Members> aMembers)
    : m_members(std::move(aMembers))
  {
  }

  void Read(const std::string& aKey,
            bool aIsPrefix,
            std::function<void(core::Result<StoreRead>)> aCallback) override
  {
    m_members->Send(
      "/v3/kv/range",
      etcd::RangeRequest(aKey, aIsPrefix),
      RetryPolicy::Always,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        callback(ParseResponse(aOutcome, etcd::ParseRange));
      });
  }

  void CompareAndSwap(const std::string& aKey,
                      std::int64_t aModRevision,
                      const std::string& aValue,
                      std::optional<std::int64_t> aLease,
                      std::function<void(WriteOutcome)> aCallback) override
  {
    m_members->Send(
      "/v3/kv/txn",
      etcd::CompareAndSwapRequest(aKey, aModRevision, aValue, aLease),
      RetryPolicy::IfNeverSent,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        if (!IsOk(aOutcome)) {
          callback(ClassifyFailedWrite(aOutcome));
          return;
        }
        const core::Result<bool> swapped =
          etcd::ParseTransaction(aOutcome.m_body);
        callback(swapped.has_error() ? WriteOutcome::Uncertain
                 : swapped.value()   ? WriteOutcome::Written
                                     : WriteOutcome::Conflict);
      });
  }

  void Put(const std::string& aKey,
           const std::string& aValue,
           std::optional<std::int64_t> aLease,
           std::function<void(WriteOutcome)> aCallback) override
  {
    m_members->Send(
      "/v3/kv/put",
      etcd::PutRequest(aKey, aValue, aLease),
      RetryPolicy::IfNeverSent,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        callback(IsOk(aOutcome) ? WriteOutcome::Written
                                : ClassifyFailedWrite(aOutcome));
      });
  }

  void Delete(const std::string& aKey,
              std::function<void(WriteOutcome)> aCallback) override
  {
    m_members->Send(
      "/v3/kv/deleterange",
      etcd::DeleteRequest(aKey),
      RetryPolicy::IfNeverSent,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        callback(IsOk(aOutcome) ? WriteOutcome::Written
                                : ClassifyFailedWrite(aOutcome));
      });
  }

  void GrantLease(
    std::chrono::seconds aTtl,
    std::function<void(core::Result<std::int64_t>)> aCallback) override
  {
    // Safe to retry: if both grants take effect, the first lease is never
    // renewed and expires.
    m_members->Send(
      "/v3/lease/grant",
      etcd::GrantRequest(aTtl),
      RetryPolicy::Always,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        callback(ParseResponse(aOutcome, etcd::ParseGrant));
      });
  }

  void KeepLeaseAlive(
    std::int64_t aLease,
    std::function<void(core::Result<bool>)> aCallback) override
  {
    m_members->Send(
      "/v3/lease/keepalive",
      etcd::LeaseIdRequest(aLease),
      RetryPolicy::Always,
      [callback = std::move(aCallback)](const HttpOutcome& aOutcome) {
        callback(ParseResponse(aOutcome, etcd::ParseKeepAlive));
      });
  }

  void RevokeLease(std::int64_t aLease) override
  {
    m_members->Send("/v3/lease/revoke",
                    etcd::LeaseIdRequest(aLease),
                    RetryPolicy::IfNeverSent,
                    [](const HttpOutcome& /*aOutcome*/) {});
  }

  void Watch(const std::string& aPrefix,
             std::int64_t aFromRevision,
             std::function<void(StoredValue)> aOnChange,
             std::function<void(core::Error)> aOnEnd) override
  {
    m_members->Watch(etcd::WatchRequest(aPrefix, aFromRevision),
                     std::move(aOnChange),
                     std::move(aOnEnd));
  }

  std::uint64_t Calls() const override { return m_members->Calls(); }

private:
  std::shared_ptr<Members> m_members;
};

} // namespace

std::unique_ptr<IStore>
MakeEtcdStore(EtcdOptions aOptions, network::IHttpClient& aClient)
{
  return std::make_unique<EtcdStore>(
    std::make_shared<Members>(std::move(aOptions), aClient));
}

} // namespace mulberrysail::store

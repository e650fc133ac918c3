#include "standins/store/storegateway.h"

#include "standins/store/storejson.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace mulberrysail::standins {

namespace {

using nlohmann::json;

constexpr std::array kModeNames = { "normal",
                                    "down",
                                    "slow",
                                    "mute_after_write",
                                    "stale_read" };
constexpr Micros kExpiryPeriod = std::chrono::milliseconds(50);
/** Codes of gRPC that the gateway puts into error bodies. */
constexpr int kCodeInvalidArgument = 3;
constexpr int kCodeNotFound = 5;
constexpr int kCodeUnimplemented = 12;
constexpr int kCodeUnavailable = 14;

StoreMode
ModeByName(std::string_view aName)
{
  const auto found = std::find(kModeNames.begin(), kModeNames.end(), aName);
  if (found == kModeNames.end()) {
    throw std::invalid_argument("unknown mode");
  }
  return static_cast<StoreMode>(found - kModeNames.begin());
}

void
RespondError(const LoopCall& aCall,
             int aStatus,
             int aCode,
             std::string_view aText)
{
  aCall.m_responder(JsonResponse(
    { { "error", aText }, { "message", aText }, { "code", aCode } }, aStatus));
}

void
RespondUnavailable(const LoopCall& aCall)
{
  RespondError(aCall, 503, kCodeUnavailable, "etcdserver: no leader");
}

/** Calls @p aAction; what it throws becomes the gateway's error answer. */
void
Guard(const LoopCall& aCall, const std::function<void()>& aAction)
{
  try {
    aAction();
  } catch (const LeaseNotFound& error) {
    RespondError(aCall, 404, kCodeNotFound, error.what());
  } catch (const std::exception& error) {
    RespondError(aCall, 400, kCodeInvalidArgument, error.what());
  }
}

json
LeaseJson(std::int64_t aId, std::optional<Lease> aLease)
{
  json body = { { "ID", std::to_string(aId) } };
  if (aLease) {
    body["TTL"] = std::to_string(aLease->m_ttl.count());
  }
  return body;
}

} // namespace

StoreGateway::StoreGateway(EventLoop& aLoop, Micros aWriteTime)
  : m_loop(aLoop)
  , m_writeTime(aWriteTime)
  , m_watches(m_store)
{
}

void
StoreGateway::Start()
{
  ExpireLeases();
}

void
StoreGateway::Handle(LoopCall aCall)
{
  if (aCall.m_request.m_path == "/control") {
    Control(aCall);
    return;
  }
  ++m_calls[aCall.m_request.m_path];
  if (m_mode == StoreMode::Slow) {
    m_loop.After(m_delay, [this, call = std::move(aCall)] { Dispatch(call); });
    return;
  }
  Dispatch(aCall);
}

void
StoreGateway::Control(const LoopCall& aCall)
{
  if (aCall.m_request.m_method == "POST") {
    const json body = ParseObject(aCall.m_request.m_body);
    m_delay = std::chrono::milliseconds(IntegerField(body, "delay_ms", 0));
    SetMode(ModeByName(body.value("mode", "normal")));
  }
  aCall.m_responder(JsonResponse(ControlJson()));
}

void
StoreGateway::SetMode(StoreMode aMode)
{
  if (aMode == StoreMode::Down) {
    m_watches.CloseAll();
  }
  if (m_mode == StoreMode::Down && aMode != StoreMode::Down) {
    m_store.RenewAllLeases(MonotonicNow());
  }
  if (aMode == StoreMode::StaleRead) {
    m_staleEntries = m_store.All();
    m_staleRevision = m_store.Revision();
  }
  m_mode = aMode;
}

json
StoreGateway::ControlJson() const
{
  std::uint64_t sum = 0;
  for (const auto& [path, count] : m_calls) {
    sum += count;
  }
  const std::size_t mode = static_cast<std::size_t>(m_mode);
  return { { "mode", kModeNames.at(mode) },
           { "calls", sum },
           { "calls_by_path", m_calls },
           { "waiting_watches", m_watches.Size() },
           { "revision", m_store.Revision() } };
}

void
StoreGateway::Dispatch(const LoopCall& aCall)
{
  if (m_mode == StoreMode::Down) {
    RespondUnavailable(aCall);
    return;
  }
  Guard(aCall, [&] {
    const std::string& path = aCall.m_request.m_path;
    const json request = ParseObject(aCall.m_request.m_body);
    if (path == "/v3/kv/range") {
      Read(aCall, [&] { return Range(request); });
    } else if (path == "/v3/kv/put") {
      Write(aCall, [this, put = ReadPut(request)] { return Put(put); });
    } else if (path == "/v3/kv/txn") {
      OnTxn(aCall, ReadTxn(request));
    } else if (path == "/v3/kv/deleterange") {
      Write(aCall,
            [this, range = ReadRange(request)] { return Delete(range); });
    } else if (path == "/v3/lease/grant") {
      Write(aCall, [this, request] { return GrantLease(request); });
    } else if (path == "/v3/lease/revoke") {
      Write(aCall, [this, request] { return RevokeLease(request); });
    } else if (path == "/v3/lease/keepalive") {
      Read(aCall, [&] { return KeepLease(request); });
    } else if (path == "/v3/watch") {
      OpenWatch(aCall, request);
    } else {
      RespondError(aCall, 404, kCodeUnimplemented, "Not Found");
    }
  });
}

void
StoreGateway::OnTxn(const LoopCall& aCall, const Txn& aTxn)
{
  if (aTxn.Writes()) {
    Write(aCall, [this, aTxn] { return Apply(aTxn); });
    return;
  }
  Read(aCall, [&] { return Apply(aTxn); });
}

void
StoreGateway::Read(const LoopCall& aCall, const Reply& aReply)
{
  aCall.m_responder(JsonResponse(aReply()));
}

void
StoreGateway::Write(const LoopCall& aCall, Reply aReply)
{
  const Micros now = MonotonicNow();
  m_writerFree = std::max(now, m_writerFree) + m_writeTime;
  m_loop.After(m_writerFree - now,
               [this, call = aCall, reply = std::move(aReply)] {
                 Guard(call, [&] { DoWrite(call, reply); });
               });
}

void
StoreGateway::DoWrite(const LoopCall& aCall, const Reply& aReply)
{
  if (m_mode == StoreMode::Down) {
    RespondUnavailable(aCall);
    return;
  }
  const json reply = aReply();
  m_watches.Deliver();
  if (m_mode == StoreMode::MuteAfterWrite) {
    m_muted.push_back(aCall.m_responder);
    return;
  }
  aCall.m_responder(JsonResponse(reply));
}

void
StoreGateway::OpenWatch(const LoopCall& aCall, const json& aRequest)
{
  const json& create = aRequest.at("create_request");
  const KeyRange range = ReadRange(create);
  const std::int64_t start = IntegerField(create, "start_revision");
  network::HttpResponse response;
  response.m_onStream = [this, id = aCall.m_id, range, start](
                          std::shared_ptr<network::IHttpStream> aStream) {
    m_watches.Open(id, range, start, std::move(aStream));
  };
  aCall.m_responder(std::move(response));
}

json
StoreGateway::Range(const json& aRequest) const
{
  const KeyRange range = ReadRange(aRequest);
  if (m_mode == StoreMode::StaleRead) {
    return RangeJson(KeyValueStore::Select(m_staleEntries, range),
                     m_staleRevision);
  }
  return RangeJson(KeyValueStore::Select(m_store.All(), range),
                   m_store.Revision());
}

json
StoreGateway::Apply(const Txn& aTxn)
{
  const TxnResult result = m_store.Apply(aTxn);
  return TxnJson(result, m_store.Revision());
}

json
StoreGateway::Put(const PutOp& aPut)
{
  m_store.Apply({ {}, { aPut }, {} });
  return { { "header", HeaderJson(m_store.Revision()) } };
}

json
StoreGateway::Delete(const KeyRange& aRange)
{
  const TxnResult result = m_store.Apply({ {}, { DeleteOp{ aRange } }, {} });
  const DeleteResult& erased = std::get<DeleteResult>(result.m_results.at(0));
  json body = { { "header", HeaderJson(m_store.Revision()) } };
  if (erased.m_deleted > 0) {
    body["deleted"] = std::to_string(erased.m_deleted);
  }
  return body;
}

json
StoreGateway::GrantLease(const json& aRequest)
{
  const std::chrono::seconds ttl(IntegerField(aRequest, "TTL"));
  const Lease lease =
    m_store.GrantLease(IntegerField(aRequest, "ID"), ttl, MonotonicNow());
  json body = LeaseJson(lease.m_id, lease);
  body["header"] = HeaderJson(m_store.Revision());
  return body;
}

json
StoreGateway::KeepLease(const json& aRequest)
{
  const std::int64_t id = IntegerField(aRequest, "ID");
  json result = LeaseJson(id, m_store.KeepLease(id, MonotonicNow()));
  result["header"] = HeaderJson(m_store.Revision());
  return { { "result", result } };
}

json
StoreGateway::RevokeLease(const json& aRequest)
{
  m_store.RevokeLease(IntegerField(aRequest, "ID"));
  return { { "header", HeaderJson(m_store.Revision()) } };
}

void
StoreGateway::ExpireLeases()
{
  if (m_mode != StoreMode::Down) {
    m_store.ExpireLeases(MonotonicNow());
    m_watches.Deliver();
  }
  m_loop.After(kExpiryPeriod, [this] { ExpireLeases(); });
}

} // namespace mulberrysail::standins

#pragma once

#include "standins/common/eventloop.h"
#include "standins/common/jsonhttp.h"
#include "standins/store/keyvaluestore.h"
#include "standins/store/watchlist.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::standins {

/** How the store misbehaves. */
enum class StoreMode : std::uint8_t
{
  Normal,
  /** All calls fail and all watches end; leases don't lapse. */
  Down,
  /** Each call is delayed before it is done. */
  Slow,
  /** Writes are done but never answered. */
  MuteAfterWrite,
  /** Reads see the state as it was when the mode was set. */
  StaleRead,
};

/** The store's HTTP calls, in the shape of etcd's JSON gateway. Used from the
 * loop's thread. */
class StoreGateway
{
public:
  /** @param aWriteTime how long one synced write takes; writes wait for each
   * other. */
  StoreGateway(EventLoop& aLoop, Micros aWriteTime);

  /** Begins to let leases lapse. */
  void Start();

  void Handle(LoopCall aCall);

  /** The connection of a call has ended. */
  void Gone(std::uint64_t aCall) { m_watches.Forget(aCall); }

private:
  using Reply = std::function<nlohmann::json()>;

  void Control(const LoopCall& aCall);
  void SetMode(StoreMode aMode);
  nlohmann::json ControlJson() const;
  void Dispatch(const LoopCall& aCall);
  void OnTxn(const LoopCall& aCall, const Txn& aTxn);
  void Read(const LoopCall& aCall, const Reply& aReply);
  void Write(const LoopCall& aCall, Reply aReply);
  void DoWrite(const LoopCall& aCall, const Reply& aReply);
  void OpenWatch(const LoopCall& aCall, const nlohmann::json& aRequest);
  nlohmann::json Range(const nlohmann::json& aRequest) const;
  nlohmann::json Apply(const Txn& aTxn);
  nlohmann::json Put(const PutOp& aPut);
  nlohmann::json Delete(const KeyRange& aRange);
  nlohmann::json GrantLease(const nlohmann::json& aRequest);
  nlohmann::json KeepLease(const nlohmann::json& aRequest);
  nlohmann::json RevokeLease(const nlohmann::json& aRequest);
  void ExpireLeases();

  EventLoop& m_loop;
  Micros m_writeTime;
  KeyValueStore m_store;
  WatchList m_watches;
  StoreMode m_mode = StoreMode::Normal;
  Micros m_delay{ 0 };
  KeyValueStore::Entries m_staleEntries;
  std::int64_t m_staleRevision = 0;
  /** When the writes that wait now will be done. */
  Micros m_writerFree{ 0 };
  std::map<std::string, std::uint64_t> m_calls;
  /** A dropped responder would answer with an error. */
  std::vector<network::HttpResponder> m_muted;
};

} // namespace mulberrysail::standins

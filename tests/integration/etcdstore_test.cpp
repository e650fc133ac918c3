#include "store/etcdstore.h"
#include "support/blockinghttp.h"
#include "support/portpicker.h"
#include "support/process.h"
#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <mutex>

namespace mulberrysail::testsupport {

namespace {

using namespace std::chrono_literals;
using store::StoredValue;
using store::StoreRead;
using store::WriteOutcome;

const std::string kKey = "/test/key";

/** The adapter of the store against the stand-in as a process. */
class EtcdStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(CompareAndSwapWritesOnce);
  CPPUNIT_TEST(LostAnswerIsUncertainThoughWritten);
  CPPUNIT_TEST(OutageFailsAndEndsWatches);
  CPPUNIT_TEST(WatchSeesWritesAndLapsedLeases);
  CPPUNIT_TEST(StaleReadIsOlderThanTheWrite);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    const std::string port = std::to_string(m_ports.Pick());
    m_url = "http://" + m_ports.Address() + ":" + port;
    m_process = std::make_unique<Process>(ProcessSpec{
      std::string(MULBERRYSAIL_PROGRAMS) + "/standin_store",
      { "--listen-address=" + m_ports.Address(), "--listen-port=" + port },
      "" });
    CPPUNIT_ASSERT(WaitUntil(
      10s, [this] { return m_http.Get(m_url + "/control").m_status == 200; }));
    m_client = network::StartHttpClient({});
    m_store = store::MakeEtcdStore({ { m_url }, 500ms }, *m_client);
  }

  void tearDown() override
  {
    m_client->Stop();
    m_store.reset();
    m_process.reset();
  }

  void CompareAndSwapWritesOnce()
  {
    CPPUNIT_ASSERT(Swap(0, "a") == WriteOutcome::Written);
    CPPUNIT_ASSERT(Swap(0, "b") == WriteOutcome::Conflict);
    const StoredValue value = ReadValue();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), value.m_value);
    CPPUNIT_ASSERT(Swap(value.m_modRevision, "c") == WriteOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), ReadValue().m_value);
  }

  void LostAnswerIsUncertainThoughWritten()
  {
    SetMode("mute_after_write");
    CPPUNIT_ASSERT(Swap(0, "a") == WriteOutcome::Uncertain);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), ReadValue().m_value);
  }

  void OutageFailsAndEndsWatches()
  {
    StartWatch();
    WaitForWatch();
    SetMode("down");
    CPPUNIT_ASSERT(WaitUntil(5s, [this] { return Ended(); }));
    CPPUNIT_ASSERT(Swap(0, "a") != WriteOutcome::Written);
    CPPUNIT_ASSERT(Read().has_error());
    SetMode("normal");
    CPPUNIT_ASSERT(Read().value().m_values.empty());
  }

  void WatchSeesWritesAndLapsedLeases()
  {
    StartWatch();
    WaitForWatch();
    std::promise<std::int64_t> lease;
    m_store->GrantLease(1s, [&lease](core::Result<std::int64_t> aLease) {
      lease.set_value(aLease.value());
    });
    CPPUNIT_ASSERT(Swap(0, "a", lease.get_future().get()) ==
                   WriteOutcome::Written);
    CPPUNIT_ASSERT(WaitUntil(10s, [this] { return Changes().size() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Changes()[0].m_value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, Changes()[1].m_modRevision);
  }

  void StaleReadIsOlderThanTheWrite()
  {
    CPPUNIT_ASSERT(Swap(0, "a") == WriteOutcome::Written);
    SetMode("stale_read");
    const std::int64_t revision = ReadValue().m_modRevision;
    CPPUNIT_ASSERT(Swap(revision, "b") == WriteOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), ReadValue().m_value);
    SetMode("normal");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ReadValue().m_value);
  }

private:
  /** What a watch has told, from the client's thread. */
  struct Watched
  {
    std::mutex m_mutex;
    std::vector<StoredValue> m_changes;
    bool m_ended = false;
  };

  WriteOutcome Swap(std::int64_t aRevision,
                    const std::string& aValue,
                    std::optional<std::int64_t> aLease = std::nullopt)
  {
    std::promise<WriteOutcome> outcome;
    m_store->CompareAndSwap(
      kKey, aRevision, aValue, aLease, [&outcome](WriteOutcome aOutcome) {
        outcome.set_value(aOutcome);
      });
    return outcome.get_future().get();
  }

  core::Result<StoreRead> Read()
  {
    std::promise<core::Result<StoreRead>> read;
    m_store->Read(kKey, false, [&read](core::Result<StoreRead> aRead) {
      read.set_value(std::move(aRead));
    });
    return read.get_future().get();
  }

  StoredValue ReadValue() { return Read().value().m_values.at(0); }

  void StartWatch()
  {
    m_watched = std::make_shared<Watched>();
    m_store->Watch(
      "/test/",
      0,
      [watched = m_watched](StoredValue aValue) {
        const std::lock_guard<std::mutex> lock(watched->m_mutex);
        watched->m_changes.push_back(std::move(aValue));
      },
      [watched = m_watched](const core::Error&) {
        const std::lock_guard<std::mutex> lock(watched->m_mutex);
        watched->m_ended = true;
      });
  }

  void WaitForWatch()
  {
    CPPUNIT_ASSERT(WaitUntil(5s, [this] {
      return m_http.GetJson(m_url + "/control").at("waiting_watches") == 1;
    }));
  }

  std::vector<StoredValue> Changes() const
  {
    const std::lock_guard<std::mutex> lock(m_watched->m_mutex);
    return m_watched->m_changes;
  }

  bool Ended() const
  {
    const std::lock_guard<std::mutex> lock(m_watched->m_mutex);
    return m_watched->m_ended;
  }

  void SetMode(const std::string& aMode)
  {
    const nlohmann::json body = { { "mode", aMode } };
    CPPUNIT_ASSERT_EQUAL(200, m_http.Post(m_url + "/control", body).m_status);
  }

  PortPicker m_ports;
  BlockingHttp m_http;
  std::string m_url;
  std::unique_ptr<Process> m_process;
  std::unique_ptr<network::IHttpClient> m_client;
  std::unique_ptr<store::IStore> m_store;
  std::shared_ptr<Watched> m_watched;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace

} // namespace mulberrysail::testsupport

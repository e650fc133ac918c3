#include "store/etcdstore.h"

#include "store/base64.h"
#include "store/tests/fakehttpclient.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace mulberrysail::store {

namespace {

using network::HttpDelivery;
using network::HttpOutcome;
using nlohmann::json;

HttpOutcome
Ok(const std::string& aBody)
{
  return { HttpDelivery::Answered, 200, aBody, "" };
}

HttpOutcome
Status(int aStatus)
{
  return { HttpDelivery::Answered, aStatus, "{}", "" };
}

HttpOutcome
Failed(HttpDelivery aFate)
{
  return { aFate, 0, "", "no answer" };
}

class EtcdStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EtcdStoreTest);
  CPPUNIT_TEST(Base64RoundTrip);
  CPPUNIT_TEST(ReadsValues);
  CPPUNIT_TEST(ReadTriesEveryMember);
  CPPUNIT_TEST(CompareAndSwapSendsKeyRevisionAndLease);
  CPPUNIT_TEST(WriteOutcomeFollowsTheResponse);
  CPPUNIT_TEST(LostWriteIsNotRetried);
  CPPUNIT_TEST(LeaseIsGrantedAndRenewed);
  CPPUNIT_TEST(WatchParsesMessagesSplitAcrossParts);
  CPPUNIT_TEST(ChangesOfOneTransactionAreMarked);
  CPPUNIT_TEST(DeletesOneKey);
  CPPUNIT_TEST(UnreadableAnswersAreErrors);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    m_client = tests::FakeHttpClient();
    m_store = MakeEtcdStore({ { "http://a", "http://b" } }, m_client);
  }

  void Base64RoundTrip()
  {
    std::string data;
    for (int i = 0; i < 260; ++i) {
      const std::string text = EncodeBase64(data);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, text.size() % 4);
      CPPUNIT_ASSERT(DecodeBase64(text) == data);
      data += static_cast<char>(i);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9vYg=="), EncodeBase64("foob"));
    CPPUNIT_ASSERT(!DecodeBase64("Zm9"));
    CPPUNIT_ASSERT(!DecodeBase64("Zm9?"));
    CPPUNIT_ASSERT(!DecodeBase64("===="));
  }

  void ReadsValues()
  {
    const core::Result<StoreRead> read =
      Read({ Ok(R"({"header":{"revision":"12"},"kvs":[
        {"key":"Zm9v","value":"YmFy","mod_revision":"5"},{"key":"Zm9w"}]})") });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 12 }, read.value().m_revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, read.value().m_values.size());
    const StoredValue& first = read.value().m_values[0];
    CPPUNIT_ASSERT_EQUAL(std::string("foo"), first.m_key);
    CPPUNIT_ASSERT_EQUAL(std::string("bar"), first.m_value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, first.m_modRevision);
    const json request = json::parse(m_client.m_calls[0].m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9v"), request.value("key", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("Zm9w"), request.value("range_end", ""));
    CPPUNIT_ASSERT_EQUAL(std::string("http://a/v3/kv/range"),
                         m_client.m_calls[0].m_url);
  }

  void ReadTriesEveryMember()
  {
    const std::string empty = R"({"header":{"revision":"1"}})";
    CPPUNIT_ASSERT(Read({ Failed(HttpDelivery::Lost), Ok(empty) }).has_value());
    // The next call goes first to the member of the last successful call.
    CPPUNIT_ASSERT(Read({ Ok(empty) }).has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("http://b/v3/kv/range"),
                         m_client.m_calls[2].m_url);
    CPPUNIT_ASSERT(Read({ Status(503), Status(503) }).has_error());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, m_store->Calls());
  }

  void CompareAndSwapSendsKeyRevisionAndLease()
  {
    CPPUNIT_ASSERT(Swap({ Ok(R"({"header":{},"succeeded":true})") }) ==
                   WriteOutcome::Written);
    const json request = json::parse(m_client.m_calls[0].m_body);
    const json expected = json::parse(R"({
      "compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL",
                  "mod_revision":"7"}],
      "success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":"9"}}]})");
    CPPUNIT_ASSERT_EQUAL(expected, request);
  }

  void WriteOutcomeFollowsTheResponse()
  {
    CPPUNIT_ASSERT(Swap({ Ok(R"({"header":{}})") }) == WriteOutcome::Conflict);
    CPPUNIT_ASSERT(Swap({ Ok("{}") }) == WriteOutcome::Uncertain);
    CPPUNIT_ASSERT(Swap({ Status(400) }) == WriteOutcome::NotWritten);
    CPPUNIT_ASSERT(Swap({ Status(408) }) == WriteOutcome::Uncertain);
    CPPUNIT_ASSERT(Swap({ Status(503) }) == WriteOutcome::Uncertain);
    CPPUNIT_ASSERT(Swap({ Failed(HttpDelivery::NeverSent),
                          Failed(HttpDelivery::NeverSent) }) ==
                   WriteOutcome::NotWritten);
    CPPUNIT_ASSERT(
      Swap({ Failed(HttpDelivery::NeverSent), Failed(HttpDelivery::Lost) }) ==
      WriteOutcome::Uncertain);
  }

  void LostWriteIsNotRetried()
  {
    CPPUNIT_ASSERT(Swap({ Failed(HttpDelivery::Lost) }) ==
                   WriteOutcome::Uncertain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_client.m_calls.size());
  }

  void LeaseIsGrantedAndRenewed()
  {
    m_client.m_outcomes = { Ok(R"({"ID":"77","TTL":"30"})"),
                            Ok(R"({"result":{"ID":"77","TTL":"30"}})"),
                            Ok(R"({"result":{"ID":"77"}})") };
    std::vector<std::int64_t> seen;
    m_store->GrantLease(std::chrono::seconds(30),
                        [&](const core::Result<std::int64_t>& aLease) {
                          seen.push_back(aLease.value());
                        });
    for (int i = 0; i < 2; ++i) {
      m_store->KeepLeaseAlive(77, [&](const core::Result<bool>& aExists) {
        seen.push_back(aExists.value() ? 1 : 0);
      });
    }
    CPPUNIT_ASSERT((seen == std::vector<std::int64_t>{ 77, 1, 0 }));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"ID":"77"})"),
                         m_client.m_calls[1].m_body);
  }

  void WatchParsesMessagesSplitAcrossParts()
  {
    m_client.m_chunks = {
      "{\"result\":{\"header\":{},\"created\":true}}\n{\"result\":{\"eve",
      R"(nts":[{"kv":{"key":"Zm9v","value":"YmFy","mod_revision":"5"}},)",
      "{\"type\":\"DELETE\",\"kv\":{\"key\":\"Zm9v\",\"mod_revision\":\"6\"}}"
      "]}}\n",
      "{\"result\":{\"canceled\":true}}\n"
    };
    std::vector<StoredValue> changes;
    std::vector<std::string> ends;
    m_store->Watch(
      "foo",
      3,
      [&](StoredValue aValue) { changes.push_back(std::move(aValue)); },
      [&](const core::Error& aError) { ends.push_back(aError.m_detail); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bar"), changes[0].m_value);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, changes[0].m_modRevision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, changes[0].m_changeRevision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, changes[1].m_modRevision);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6 }, changes[1].m_changeRevision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, ends.size());
    CPPUNIT_ASSERT(ends[0].starts_with("the store cancelled the watch"));
    const json request = json::parse(m_client.m_calls[0].m_body);
    CPPUNIT_ASSERT_EQUAL(std::string("3"),
                         request["create_request"].value("start_revision", ""));
    CPPUNIT_ASSERT(m_client.m_calls[0].m_idleTimeout.count() > 0);
  }

  /** Without the mark, a receiver could take a part of a transaction for the
   * state of its revision. */
  void ChangesOfOneTransactionAreMarked()
  {
    m_client.m_chunks = {
      R"({"result":{"events":[{"kv":{"key":"Zm9v","mod_revision":"5"}},)",
      R"({"type":"DELETE","kv":{"key":"Zm9w","mod_revision":"5"}},)",
      R"({"kv":{"key":"Zm9x","mod_revision":"6"}}]}})",
      "\n"
    };
    std::vector<bool> more;
    m_store->Watch(
      "foo",
      3,
      [&](const StoredValue& aValue) {
        more.push_back(aValue.m_moreAtRevision);
      },
      [](const core::Error&) {});
    CPPUNIT_ASSERT((more == std::vector<bool>{ true, false, false }));
  }

  void DeletesOneKey()
  {
    m_client.m_outcomes = { Ok(R"({"header":{},"deleted":"1"})") };
    std::optional<WriteOutcome> result;
    m_store->Delete("foo", [&](WriteOutcome aOutcome) { result = aOutcome; });
    CPPUNIT_ASSERT(result == WriteOutcome::Written);
    CPPUNIT_ASSERT_EQUAL(std::string("http://a/v3/kv/deleterange"),
                         m_client.m_calls[0].m_url);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"key":"Zm9v"})"),
                         m_client.m_calls[0].m_body);
    m_client.m_outcomes = { Failed(HttpDelivery::Lost) };
    m_store->Delete("foo", [&](WriteOutcome aOutcome) { result = aOutcome; });
    CPPUNIT_ASSERT(result == WriteOutcome::Uncertain);
  }

  void UnreadableAnswersAreErrors()
  {
    for (const std::string body :
         { "",
           "[]",
           "{}",
           "{\"header\":3}",
           "{\"header\":{\"revision\":{}}}",
           "{\"header\":{},\"kvs\":[{\"key\":\"!\"}]}" }) {
      CPPUNIT_ASSERT(Read({ Ok(body) }).has_error());
      CPPUNIT_ASSERT(Read({ Ok(body) }).error().m_kind ==
                     core::ErrorKind::StoreUnavailable);
    }
  }

private:
  core::Result<StoreRead> Read(std::deque<HttpOutcome> aOutcomes)
  {
    m_client.m_outcomes = std::move(aOutcomes);
    std::optional<core::Result<StoreRead>> result;
    m_store->Read("foo", true, [&](core::Result<StoreRead> aRead) {
      result = std::move(aRead);
    });
    return result.value();
  }

  WriteOutcome Swap(std::deque<HttpOutcome> aOutcomes)
  {
    m_client.m_outcomes = std::move(aOutcomes);
    std::optional<WriteOutcome> result;
    m_store->CompareAndSwap(
      "foo", 7, "bar", 9, [&](WriteOutcome aOutcome) { result = aOutcome; });
    return result.value();
  }

  tests::FakeHttpClient m_client;
  std::unique_ptr<IStore> m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdStoreTest);

} // namespace

} // namespace mulberrysail::store

#include "daemon/internal/shardset.h"
#include "daemon/tests/fakes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>

namespace mulberrysail::daemon {

namespace {

constexpr core::Instant kHandledUntil{ std::chrono::hours(3) };

class BehindTransport : public FakeTransport
{
public:
  using FakeTransport::FakeTransport;
  core::Instant HandledUntil() const override { return kHandledUntil; }
};

/** What an entry's process states to its core. */
class EntryShardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryShardTest);
  CPPUNIT_TEST(CoreKnowsTheProgressOfTheTransportBeforeItDecides);
  CPPUNIT_TEST_SUITE_END();

public:
  void CoreKnowsTheProgressOfTheTransportBeforeItDecides()
  {
    FakeEventLog log;
    FakeTransport::Sent sent;
    FakeEntry* core = nullptr;
    ShardSet shards({ "entry", { 1 } },
                    1,
                    log,
                    [&core](const core::ProcessId&, std::uint8_t) {
                      std::unique_ptr<FakeEntry> entry =
                        std::make_unique<FakeEntry>();
                      core = entry.get();
                      return entry;
                    });
    shards.Start(
      [&sent](const core::ProcessId&, std::size_t, EntryShard&)
        -> core::Result<std::unique_ptr<network::IMessageTransport>> {
        return std::make_unique<BehindTransport>(sent);
      });
    shards.At(0).Submit(core::SubmitJob{}, [](const core::Answer&) {});
    shards.At(0).Submit(core::SubmitRequest{}, [](const core::Answer&) {});
    shards.At(0).Handle(core::TimerFired{});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, core->m_events.size());
    for (std::size_t i = 0; i < core->m_events.size(); i += 2) {
      const core::MessagesHandled* const progress =
        std::get_if<core::MessagesHandled>(&core->m_events[i]);
      CPPUNIT_ASSERT(progress != nullptr);
      CPPUNIT_ASSERT(progress->m_until == kHandledUntil);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryShardTest);

} // namespace

} // namespace mulberrysail::daemon

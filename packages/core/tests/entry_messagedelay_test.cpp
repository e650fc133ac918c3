#include "core/tests/queuefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::core {

namespace {

using std::chrono::milliseconds;

/** An entry whose own messages are behind. */
class EntryMessageDelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EntryMessageDelayTest);
  CPPUNIT_TEST(JobIsRefusedWhileItsOffersWouldLeaveTooLate);
  CPPUNIT_TEST(JobIsAdmittedOnceTheMessagesHaveLeft);
  CPPUNIT_TEST_SUITE_END();

public:
  void JobIsRefusedWhileItsOffersWouldLeaveTooLate()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(100) });
    const CallerToken caller = fixture.Submit("job", 1);
    CPPUNIT_ASSERT(fixture.Offers().empty());
    const std::optional<Answer> answer = fixture.AnswerTo(caller);
    CPPUNIT_ASSERT(answer);
    CPPUNIT_ASSERT(answer->m_execution == Execution::NotRun);
    CPPUNIT_ASSERT(*answer->m_retryAfter >= milliseconds(100));
  }

  void JobIsAdmittedOnceTheMessagesHaveLeft()
  {
    QueueFixture fixture;
    fixture.AddWorkerAgent("a1", kWorkerCapacity);
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(100) });
    fixture.HandleEvent(MessagesHandled{ fixture.m_now - milliseconds(5) });
    fixture.Submit("job", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.Offers().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryMessageDelayTest);

} // namespace

} // namespace mulberrysail::core

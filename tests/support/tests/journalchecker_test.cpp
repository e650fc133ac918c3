#include "support/journalchecker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace mulberrysail::testsupport {

namespace {

std::string
StartLine(const std::string& aId, const std::string& aRun)
{
  return R"({"event":"start","id":")" + aId + R"(","run":")" + aRun + "\"}\n";
}

SubmittedWork
Work(const std::string& aId, const std::string& aKey = "")
{
  return { aId, "payload of " + aId, false, aKey };
}

network::HttpOutcome
Answered(int aStatus, const std::string& aBody)
{
  return { network::HttpDelivery::Answered, aStatus, aBody, "" };
}

network::HttpOutcome
CompleteWith(const std::string& aOutput)
{
  return Answered(200, R"({"submission":"1","output":")" + aOutput + "\"}");
}

class JournalCheckerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(JournalCheckerTest);
  CPPUNIT_TEST(RightAnswersPass);
  CPPUNIT_TEST(SecondStartIsFound);
  CPPUNIT_TEST(CrossedAnswerIsFound);
  CPPUNIT_TEST(CompleteWithoutStartIsFound);
  CPPUNIT_TEST(PartialJobIsFound);
  CPPUNIT_TEST(NotRunThatStartedIsFound);
  CPPUNIT_TEST(LostAnswerProvesNothing);
  CPPUNIT_TEST(KeyThatStartedTwiceIsFound);
  CPPUNIT_TEST(ResubmissionMayGetTheFirstAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  void RightAnswersPass()
  {
    m_checker.AddJournal(StartLine("a", "1") + StartLine("b", "2") +
                         R"({"event":"start","id":"b)");
    m_checker.AddAnswer(ReadAnswer({ Work("a"), Work("b") },
                                   Answered(200,
                                            R"({"outputs":["payload of a",)"
                                            R"("payload of b"]})")));
    CPPUNIT_ASSERT(m_checker.Violations().empty());
  }

  void SecondStartIsFound()
  {
    m_checker.AddJournal(StartLine("a", "1") + StartLine("a", "2"));
    m_checker.AddAnswer(
      ReadAnswer({ Work("a") }, CompleteWith("payload of a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
    m_checker.AddJournal(StartLine("b", "2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, m_checker.Violations().size());
  }

  void CrossedAnswerIsFound()
  {
    m_checker.AddJournal(StartLine("a", "1") + StartLine("b", "2"));
    m_checker.AddAnswer(
      ReadAnswer({ Work("a") }, CompleteWith("payload of b")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

  void CompleteWithoutStartIsFound()
  {
    m_checker.AddAnswer(
      ReadAnswer({ Work("a") }, CompleteWith("payload of a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

  void PartialJobIsFound()
  {
    m_checker.AddJournal(StartLine("a", "1") + StartLine("b", "2"));
    m_checker.AddAnswer(
      ReadAnswer({ Work("a"), Work("b") },
                 Answered(200, R"({"outputs":["payload of a"]})")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

  void NotRunThatStartedIsFound()
  {
    m_checker.AddAnswer(ReadAnswer(
      { Work("a") }, Answered(503, R"({"error":{"execution":"not-run"}})")));
    CPPUNIT_ASSERT(m_checker.Violations().empty());
    m_checker.AddJournal(StartLine("a", "1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

  void LostAnswerProvesNothing()
  {
    m_checker.AddJournal(StartLine("a", "1"));
    m_checker.AddAnswer(ReadAnswer({ Work("a") }, {}));
    m_checker.AddAnswer(ReadAnswer(
      { Work("b") }, Answered(502, R"({"error":{"execution":"ran"}})")));
    CPPUNIT_ASSERT(m_checker.Violations().empty());
  }

  void KeyThatStartedTwiceIsFound()
  {
    m_checker.AddJournal(StartLine("a", "1") + StartLine("b", "2"));
    m_checker.AddAnswer(ReadAnswer({ Work("a", "key") }, {}));
    m_checker.AddAnswer(ReadAnswer({ Work("b", "key") }, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

  void ResubmissionMayGetTheFirstAnswer()
  {
    m_checker.AddJournal(StartLine("a", "1"));
    m_checker.AddAnswer(ReadAnswer({ Work("a", "key") }, {}));
    m_checker.AddAnswer(
      ReadAnswer({ Work("b", "key") }, CompleteWith("payload of a")));
    CPPUNIT_ASSERT(m_checker.Violations().empty());
    m_checker.AddAnswer(
      ReadAnswer({ Work("c", "other") }, CompleteWith("payload of a")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, m_checker.Violations().size());
  }

private:
  JournalChecker m_checker;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JournalCheckerTest);

} // namespace

} // namespace mulberrysail::testsupport

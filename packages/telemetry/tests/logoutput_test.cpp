#include "telemetry/logoutput.h"

#include "support/waituntil.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>

namespace mulberrysail::telemetry {

namespace {

/** A pipe that is read only by calls of Drain(). */
class Pipe
{
public:
  Pipe()
  {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe2(m_ends.data(), O_CLOEXEC));
    CPPUNIT_ASSERT(::fcntl(Reader(), F_SETFL, O_NONBLOCK) == 0);
  }
  ~Pipe()
  {
    ::close(m_ends[0]);
    ::close(m_ends[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int Reader() const { return m_ends[0]; }
  int Writer() const { return m_ends[1]; }

  /** Empties the pipe. @return the bytes read. */
  std::string Drain() const
  {
    std::string text;
    std::array<char, 4096> part{};
    ssize_t bytes = 0;
    while ((bytes = ::read(Reader(), part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<std::size_t>(bytes));
    }
    return text;
  }

private:
  std::array<int, 2> m_ends{};
};

class LogOutputTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LogOutputTest);
  CPPUNIT_TEST(WritesWholeLinesInOrder);
  CPPUNIT_TEST(DisabledLevelsAreNotWritten);
  CPPUNIT_TEST(StalledReaderDropsLinesWithoutBlocking);
  CPPUNIT_TEST(LinesInQuickSuccessionShareWrites);
  CPPUNIT_TEST_SUITE_END();

public:
  void WritesWholeLinesInOrder()
  {
    const Pipe pipe;
    {
      const std::unique_ptr<ILogOutput> output =
        MakeLogOutput(pipe.Writer(), EventLevel::Info);
      output->Write(EventLevel::Info, "event=first");
      output->Write(EventLevel::Warning, "event=second");
    }
    const std::string text = pipe.Drain();
    const std::size_t first = text.find("Z level=info event=first\n");
    const std::size_t second = text.find("Z level=warning event=second\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), text.find("time=20"));
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(second != std::string::npos && second > first);
  }

  void DisabledLevelsAreNotWritten()
  {
    const Pipe pipe;
    {
      const std::unique_ptr<ILogOutput> output =
        MakeLogOutput(pipe.Writer(), EventLevel::Warning);
      output->Write(EventLevel::Info, "event=quiet");
      output->SetMinLevel(EventLevel::Verbose);
      output->Write(EventLevel::Verbose, "event=loud");
    }
    const std::string text = pipe.Drain();
    CPPUNIT_ASSERT(text.find("quiet") == std::string::npos);
    CPPUNIT_ASSERT(text.find("level=verbose event=loud") != std::string::npos);
  }

  void StalledReaderDropsLinesWithoutBlocking()
  {
    constexpr std::uint64_t kLines = 20000;
    constexpr std::chrono::seconds kTimeout{ 5 };
    const std::string fields = "event=flood " + std::string(200, 'x');
    const Pipe pipe;
    const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
    {
      const std::unique_ptr<ILogOutput> output =
        MakeLogOutput(pipe.Writer(), EventLevel::Info);
      for (std::uint64_t i = 0; i < kLines; ++i) {
        output->Write(EventLevel::Info, fields);
      }
      CPPUNIT_ASSERT(testsupport::WaitUntil(kTimeout, [&] {
        const LogCounters counters = output->Counters();
        return counters.m_dropped > 0 &&
               counters.m_written + counters.m_dropped == kLines;
      }));
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < kTimeout);
    const std::string text = pipe.Drain();
    CPPUNIT_ASSERT_EQUAL('\n', text.back());
  }

  void LinesInQuickSuccessionShareWrites()
  {
    constexpr std::uint64_t kLines = 300;
    const Pipe pipe;
    const std::unique_ptr<ILogOutput> output =
      MakeLogOutput(pipe.Writer(), EventLevel::Info);
    const long before = VoluntarySwitches();
    for (std::uint64_t i = 0; i < kLines; ++i) {
      output->Write(EventLevel::Info, "event=steady");
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    // Each line's pause in this thread is one switch.
    const long switches = VoluntarySwitches() - before - long{ kLines };
    CPPUNIT_ASSERT_MESSAGE(std::to_string(switches) + " wake-ups",
                           switches * 2 < long{ kLines });
  }

private:
  static long VoluntarySwitches()
  {
    rusage usage{};
    CPPUNIT_ASSERT_EQUAL(0, ::getrusage(RUSAGE_SELF, &usage));
    return usage.ru_nvcsw;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogOutputTest);

} // namespace

} // namespace mulberrysail::telemetry

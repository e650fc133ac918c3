#pragma once

#include "network/ihttpclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mulberrysail::testsupport {

/** One request or task that a test has submitted. */
struct SubmittedWork
{
  /** Unique in the test; the "id" in the payload. */
  std::string m_id;
  std::string m_payload;
  bool m_repeatable = false;
  /** The caller key, if any: work of one key starts at most once, and may get
   * the answer of other work of its key. */
  std::string m_key;
};

/** What a caller was told of its request or job. */
enum class ToldOutcome : std::uint8_t
{
  Complete,
  NotRun,
  /** It ran, or may have run; or no answer came. */
  Open,
};

/** A submission and the answer to it. */
struct CallerAnswer
{
  std::vector<SubmittedWork> m_work;
  ToldOutcome m_outcome = ToldOutcome::Open;
  /** One for each work, if complete. */
  std::vector<std::string> m_outputs;
};

/** @return the answer to @p aWork in @p aOutcome of POST .../requests or
 * .../jobs. */
CallerAnswer
ReadAnswer(std::vector<SubmittedWork> aWork,
           const network::HttpOutcome& aOutcome);

/** Checks the journals of endpoints and workers against what callers were
 * told: nothing starts twice, what is complete has run and has its own output,
 * what is said not to have run has never started. */
class JournalChecker
{
public:
  /** @param aText JSON lines, as the stand-ins write them. A last line that
   * was cut off by a crash is passed over. */
  void AddJournal(std::string_view aText);

  void AddAnswer(CallerAnswer aAnswer);

  /** @return how often work @p aId was started. */
  std::size_t Starts(const std::string& aId) const;

  /** @return each violation in words. */
  std::vector<std::string> Violations() const;

private:
  void CheckStarts(const SubmittedWork& aWork,
                   std::vector<std::string>& aViolations) const;
  void CheckKeys(std::vector<std::string>& aViolations) const;
  bool IsOwnOutput(const SubmittedWork& aWork,
                   const std::string& aOutput) const;
  void CheckComplete(const CallerAnswer& aAnswer,
                     std::vector<std::string>& aViolations) const;
  void CheckNotRun(const SubmittedWork& aWork,
                   std::vector<std::string>& aViolations) const;

  std::map<std::string, std::size_t> m_startsOfId;
  std::map<std::string, std::size_t> m_startsOfRun;
  std::vector<CallerAnswer> m_answers;
  /** By caller key; work without one isn't in it. */
  std::multimap<std::string, SubmittedWork> m_workOfKey;
};

} // namespace mulberrysail::testsupport

#include "support/requestcrowd.h"

#include "support/submissions.h"

#include <utility>

namespace mulberrysail::testsupport {

RequestCrowd::RequestCrowd(Cluster& aCluster,
                           std::uint32_t aEntries,
                           std::chrono::milliseconds aRun,
                           std::chrono::milliseconds aDeadline)
  : m_cluster(aCluster)
  , m_entries(aEntries)
  , m_run(aRun)
  , m_deadline(aDeadline)
{
}

void
RequestCrowd::Submit(const std::string& aName, std::uint32_t aCount)
{
  for (std::uint32_t i = 0; i < aCount; ++i) {
    SubmittedWork work = MakeWork(aName + "-" + std::to_string(i), m_run);
    const std::string url = m_cluster.Layout().CallerUrl(1 + i % m_entries) +
                            "/v1/services/photo-check/requests";
    std::future<network::HttpOutcome> outcome =
      m_cluster.Http().StartPost(url, RequestBody(work, m_deadline));
    m_open.push_back({ std::move(work), std::move(outcome) });
  }
}

std::size_t
RequestCrowd::Collect()
{
  for (OpenRequest& request : m_open) {
    const network::HttpOutcome outcome = request.m_outcome.get();
    CallerAnswer answer = ReadAnswer({ request.m_work }, outcome);
    if (answer.m_outcome == ToldOutcome::Complete) {
      ++m_complete;
    } else if (m_firstFailure.empty()) {
      m_firstFailure = outcome.m_body + outcome.m_detail;
    }
    m_answers.push_back(std::move(answer));
  }
  m_open.clear();
  return m_complete;
}

std::vector<std::string>
RequestCrowd::Violations() const
{
  JournalChecker checker;
  m_cluster.AddJournals(checker);
  for (const CallerAnswer& answer : m_answers) {
    checker.AddAnswer(answer);
  }
  return checker.Violations();
}

} // namespace mulberrysail::testsupport

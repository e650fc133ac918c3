#include "core/internal/entry/crashledger.h"

#include "core/internal/entry/crashrates.h"

#include <algorithm>

namespace mulberrysail::core {

namespace {

/** Callers submit a job again within seconds after its answer was lost. */
constexpr Duration kRetention = std::chrono::minutes(2);
constexpr std::size_t kMaxTasks = 4096;
/** Sum of the blame of a task's lost runs that proves that it crashes workers.
 * At least two runs are lost then. */
constexpr double kProofBlame = 1;
/** Blame above which a run may have crashed its worker. */
constexpr double kSuspectBlame = 0.1;
constexpr std::size_t kMinRunsForProof = 2;

} // namespace

std::vector<double>
BlameOfRuns(const WorkerCrash& aCrash)
{
  std::vector<double> blame;
  double sum = 0;
  for (const LostRun& run : aCrash.m_runs) {
    blame.push_back(RelativeCrashRate(run.m_age));
    sum += blame.back();
  }
  for (double& one : blame) {
    one /= sum;
  }
  return blame;
}

void
CrashLedger::AddLoss(Instant aNow,
                     const std::string& aTask,
                     AttemptId aAttempt,
                     const std::string& aAgent)
{
  if (aTask.empty()) {
    return;
  }
  LostRunRecord& run = FindOrAdd(aNow, aTask, aAttempt);
  if (run.m_lostWith.empty()) {
    run.m_lostWith = aAgent;
  }
}

bool
CrashLedger::AddCrash(Instant aNow, const WorkerCrash& aCrash)
{
  bool isNew = false;
  const std::vector<double> blame = BlameOfRuns(aCrash);
  for (std::size_t i = 0; i < aCrash.m_runs.size(); ++i) {
    const LostRun& lost = aCrash.m_runs[i];
    if (lost.m_task.empty()) {
      continue;
    }
    LostRunRecord& run = FindOrAdd(aNow, lost.m_task, lost.m_attempt);
    run.m_lostWith = aCrash.m_worker;
    run.m_blame = blame[i];
    run.m_otherRuns = aCrash.m_runs.size() - 1;
    isNew = isNew || !run.m_isCrash;
    run.m_isCrash = true;
    run.m_isConfirmed = run.m_isConfirmed || aCrash.m_isConfirmed;
  }
  return isNew;
}

LostRunRecord&
CrashLedger::FindOrAdd(Instant aNow,
                       const std::string& aTask,
                       AttemptId aAttempt)
{
  Evict(aNow);
  std::vector<LostRunRecord>& runs = m_tasks[aTask];
  const auto known =
    std::find_if(runs.begin(), runs.end(), [&](const LostRunRecord& aRun) {
      return aRun.m_attempt == aAttempt;
    });
  if (known != runs.end()) {
    return *known;
  }
  m_recorded.emplace_back(aNow, aTask);
  return runs.emplace_back(LostRunRecord{ aAttempt, {} });
}

void
CrashLedger::Evict(Instant aNow)
{
  while (!m_recorded.empty() && (m_recorded.front().first + kRetention < aNow ||
                                 m_recorded.size() > kMaxTasks)) {
    m_tasks.erase(m_recorded.front().second);
    m_recorded.pop_front();
  }
}

const std::vector<LostRunRecord>*
CrashLedger::Find(std::string_view aTask) const
{
  if (m_tasks.empty() || aTask.empty()) {
    return nullptr;
  }
  const auto found = m_tasks.find(std::string(aTask));
  return found == m_tasks.end() ? nullptr : &found->second;
}

std::size_t
CrashLedger::LostRunsOf(std::string_view aTask) const
{
  const std::vector<LostRunRecord>* const runs = Find(aTask);
  return runs == nullptr ? 0 : runs->size();
}

std::size_t
CrashLedger::CountRuns(std::string_view aTask, RunFilter aFilter) const
{
  const std::vector<LostRunRecord>* const runs = Find(aTask);
  return runs == nullptr ? 0
                         : static_cast<std::size_t>(std::count_if(
                             runs->begin(), runs->end(), aFilter));
}

std::size_t
CrashLedger::CrashesOf(std::string_view aTask) const
{
  return CountRuns(aTask,
                   [](const LostRunRecord& aRun) { return aRun.m_isCrash; });
}

std::size_t
CrashLedger::ConfirmedCrashesOf(std::string_view aTask) const
{
  return CountRuns(
    aTask, [](const LostRunRecord& aRun) { return aRun.m_isConfirmed; });
}

std::size_t
CrashLedger::SuspectedRunsOf(std::string_view aTask) const
{
  return CountRuns(aTask, [](const LostRunRecord& aRun) {
    return aRun.m_blame >= kSuspectBlame;
  });
}

bool
CrashLedger::IsProven(std::string_view aTask) const
{
  const std::vector<LostRunRecord>* const runs = Find(aTask);
  if (runs == nullptr || runs->size() < kMinRunsForProof) {
    return false;
  }
  double blame = 0;
  for (const LostRunRecord& run : *runs) {
    blame += run.m_blame;
  }
  return blame >= kProofBlame;
}

std::string
CrashLedger::Describe(std::string_view aTask) const
{
  std::string text;
  const std::vector<LostRunRecord>* const runs = Find(aTask);
  if (runs == nullptr) {
    return text;
  }
  for (const LostRunRecord& run : *runs) {
    text += (text.empty() ? "lost with " : ", ") + run.m_lostWith + " beside " +
            std::to_string(run.m_otherRuns) + " runs";
  }
  return text;
}

} // namespace mulberrysail::core

#pragma once

#include "core/internal/entry/answercontroller.h"
#include "core/internal/entry/claimcontroller.h"
#include "core/internal/entry/dispatchcontroller.h"
#include "core/internal/entry/entryboard.h"
#include "core/types/events.h"

namespace mulberrysail::core {

/** Admits or refuses submissions on arrival. */
class AdmissionController
{
public:
  AdmissionController(EntryBoard& aBoard,
                      AnswerController& aAnswers,
                      DispatchController& aDispatch,
                      ClaimController& aClaims)
    : m_board(aBoard)
    , m_answers(aAnswers)
    , m_dispatch(aDispatch)
    , m_claims(aClaims)
  {
  }

  void OnRequest(EntryEventContext& aContext, SubmitRequest aRequest);
  void OnJob(EntryEventContext& aContext, SubmitJob aJob);

private:
  /** Why a submission is refused, and when its caller may retry. */
  struct Refusal
  {
    ErrorKind m_kind = ErrorKind::None;
    std::string m_detail;
    std::optional<Duration> m_retryAfter;
  };

  /** Checks the limits that do not depend on the load.
   * @param aItems number of requests or tasks in the submission. */
  std::optional<Refusal> CheckLimits(const std::string& aService,
                                     const std::string& aTeam,
                                     std::size_t aItems);
  std::optional<Refusal> CheckRequestLoad(EntryEventContext& aContext,
                                          const std::string& aService,
                                          const std::string& aTeam,
                                          Duration aExpectedRun,
                                          Duration aDeadline);
  void RefuseJob(EntryEventContext& aContext,
                 CallerToken aCaller,
                 const std::string& aName,
                 const Refusal& aRefusal);
  /** Answers @p aJob with the answer of a finished job of the same name, or
   * adds its caller to the open job of that name.
   * @return false if there is no such job. */
  bool JoinExistingJob(EntryEventContext& aContext, const SubmitJob& aJob);
  /** @param aQueue the queue that the job was submitted to; may be null. */
  Submission MakeJob(const EntryEventContext& aContext,
                     SubmitJob aJob,
                     const QueueConfig* aQueue);
  /** Refuses a job with a task that must not be started again. */
  std::optional<Refusal> CheckLostRuns(const Submission& aJob) const;
  std::optional<Refusal> CheckJobLoad(const EntryEventContext& aContext,
                                      const Submission& aJob);
  std::optional<Refusal> CheckWorkersCanRun(const SubmitJob& aJob) const;
  using WorkersOf = const std::vector<WorkerInfo>& (*)(const AgentRecord&);
  /** @return whether one of the workers that @p aWorkersOf returns for each
   * agent can run the task, at least if idle. */
  bool AnyWorkerCanRun(const SubmitJob& aJob,
                       const TaskSpec& aTask,
                       WorkersOf aWorkersOf) const;
  /** @return this entry's share of the team's quota of open items. */
  std::uint32_t TeamLimit(const TeamConfig& aTeam) const;
  Submission& Admit(EntryEventContext& aContext, Submission aSubmission);

  EntryBoard& m_board;
  AnswerController& m_answers;
  DispatchController& m_dispatch;
  ClaimController& m_claims;
};

} // namespace mulberrysail::core

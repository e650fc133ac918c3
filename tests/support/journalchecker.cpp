#include "support/journalchecker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace mulberrysail::testsupport {

namespace {

using nlohmann::json;

constexpr int kOk = 200;

std::vector<std::string>
OutputsOf(const json& aBody)
{
  if (aBody.contains("output")) {
    return { aBody["output"].get<std::string>() };
  }
  return aBody.value("outputs", std::vector<std::string>());
}

ToldOutcome
OutcomeOf(const json& aBody, const network::HttpOutcome& aOutcome)
{
  if (aOutcome.m_status == kOk) {
    return ToldOutcome::Complete;
  }
  const json error = aBody.value("error", json::object());
  return error.value("execution", "") == "not-run" ? ToldOutcome::NotRun
                                                   : ToldOutcome::Open;
}

std::size_t
CountIn(const std::map<std::string, std::size_t>& aCounts,
        const std::string& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

CallerAnswer
ReadAnswer(std::vector<SubmittedWork> aWork,
           const network::HttpOutcome& aOutcome)
{
  CallerAnswer answer;
  answer.m_work = std::move(aWork);
  if (aOutcome.m_delivery == network::HttpDelivery::NeverSent) {
    answer.m_outcome = ToldOutcome::NotRun;
    return answer;
  }
  const json body = json::parse(aOutcome.m_body, nullptr, false);
  if (aOutcome.m_delivery != network::HttpDelivery::Answered ||
      !body.is_object()) {
    return answer;
  }
  answer.m_outcome = OutcomeOf(body, aOutcome);
  answer.m_outputs = OutputsOf(body);
  return answer;
}

void
JournalChecker::AddJournal(std::string_view aText)
{
  while (!aText.empty()) {
    const std::size_t end = aText.find('\n');
    const json line = json::parse(aText.substr(0, end), nullptr, false);
    if (line.is_object() && line.value("event", "") == "start") {
      ++m_startsOfId[line.value("id", "")];
      ++m_startsOfRun[line.value("run", "")];
    }
    if (end == std::string_view::npos) {
      return;
    }
    aText.remove_prefix(end + 1);
  }
}

void
JournalChecker::AddAnswer(CallerAnswer aAnswer)
{
  for (const SubmittedWork& work : aAnswer.m_work) {
    if (!work.m_key.empty()) {
      m_workOfKey.emplace(work.m_key, work);
    }
  }
  m_answers.push_back(std::move(aAnswer));
}

std::size_t
JournalChecker::Starts(const std::string& aId) const
{
  return CountIn(m_startsOfId, aId);
}

std::vector<std::string>
JournalChecker::Violations() const
{
  std::vector<std::string> violations;
  for (const auto& [run, starts] : m_startsOfRun) {
    if (starts > 1) {
      violations.push_back("run " + run + " started " + std::to_string(starts) +
                           " times");
    }
  }
  for (const CallerAnswer& answer : m_answers) {
    for (const SubmittedWork& work : answer.m_work) {
      CheckStarts(work, violations);
      if (answer.m_outcome == ToldOutcome::NotRun) {
        CheckNotRun(work, violations);
      }
    }
    if (answer.m_outcome == ToldOutcome::Complete) {
      CheckComplete(answer, violations);
    }
  }
  CheckKeys(violations);
  return violations;
}

void
JournalChecker::CheckKeys(std::vector<std::string>& aViolations) const
{
  std::map<std::string, std::size_t> startsOfKey;
  for (const auto& [key, work] : m_workOfKey) {
    startsOfKey[key] += work.m_repeatable ? 0 : Starts(work.m_id);
  }
  for (const auto& [key, starts] : startsOfKey) {
    if (starts > 1) {
      aViolations.push_back("key " + key + " started " +
                            std::to_string(starts) + " times");
    }
  }
}

bool
JournalChecker::IsOwnOutput(const SubmittedWork& aWork,
                            const std::string& aOutput) const
{
  if (aOutput == aWork.m_payload) {
    return Starts(aWork.m_id) > 0;
  }
  const auto [first, last] = m_workOfKey.equal_range(aWork.m_key);
  return std::any_of(first, last, [&](const auto& aEntry) {
    const SubmittedWork& other = aEntry.second;
    return aOutput == other.m_payload && Starts(other.m_id) > 0;
  });
}

void
JournalChecker::CheckStarts(const SubmittedWork& aWork,
                            std::vector<std::string>& aViolations) const
{
  const std::size_t starts = Starts(aWork.m_id);
  if (starts > 1 && !aWork.m_repeatable) {
    aViolations.push_back(aWork.m_id + " started " + std::to_string(starts) +
                          " times");
  }
}

void
JournalChecker::CheckComplete(const CallerAnswer& aAnswer,
                              std::vector<std::string>& aViolations) const
{
  if (aAnswer.m_outputs.size() != aAnswer.m_work.size()) {
    aViolations.push_back("the answer to " + aAnswer.m_work.front().m_id +
                          " has " + std::to_string(aAnswer.m_outputs.size()) +
                          " outputs for " +
                          std::to_string(aAnswer.m_work.size()) + " tasks");
    return;
  }
  for (std::size_t i = 0; i < aAnswer.m_work.size(); ++i) {
    const SubmittedWork& work = aAnswer.m_work[i];
    if (!IsOwnOutput(work, aAnswer.m_outputs[i])) {
      aViolations.push_back(work.m_id + " got the output of other work or of " +
                            "none that started: " + aAnswer.m_outputs[i]);
    }
  }
}

void
JournalChecker::CheckNotRun(const SubmittedWork& aWork,
                            std::vector<std::string>& aViolations) const
{
  if (Starts(aWork.m_id) > 0) {
    aViolations.push_back(aWork.m_id + " was told not-run but started");
  }
}

} // namespace mulberrysail::testsupport

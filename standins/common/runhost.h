#pragma once

#include "network/ihttpserver.h"
#include "standins/common/journal.h"
#include "standins/common/payload.h"
#include "standins/common/runcontrol.h"

#include <functional>
#include <string>
#include <vector>

namespace mulberrysail::standins {

/** What endpoint and worker have in common: the journal, the fault controls
 * and the answers. Used from the loop's thread. */
class RunHost
{
public:
  /** @param aSpeed run times are multiplied by this, till told otherwise.
   * @param aOnControl called after each change of the controls. */
  RunHost(const std::string& aJournalPath,
          double aSpeed,
          std::function<void()> aOnControl);

  const RunControl& Control() const { return m_control; }

  void Record(const JournalEntry& aEntry) { m_journal.Write(aEntry); }

  /** Answers /journal, /control and /healthz. @return whether it did. */
  bool HandleCommon(const network::HttpRequest& aRequest,
                    const network::HttpResponder& aResponder);

  /** @return how long a run of @p aPayload takes under the controls. */
  std::chrono::microseconds RunTime(const Payload& aPayload) const;

  /** @return whether a run of @p aPayload fails under the controls. */
  bool Fails(const Payload& aPayload) const;

  /** Answers, or keeps the caller waiting forever if told to be mute. */
  void Answer(const network::HttpResponder& aResponder,
              network::HttpResponse aResponse);

private:
  void HandleControl(const network::HttpRequest& aRequest,
                     const network::HttpResponder& aResponder);

  Journal m_journal;
  RunControl m_control;
  std::function<void()> m_onControl;
  /** A dropped responder would answer with an error. */
  std::vector<network::HttpResponder> m_muted;
};

} // namespace mulberrysail::standins

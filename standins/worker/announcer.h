#pragma once

#include "network/ihttpclient.h"
#include "standins/common/eventloop.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace mulberrysail::standins {

struct AnnouncerOptions
{
  std::string m_workerName;
  /** http://IP:port of the entries that tell where to announce. */
  std::vector<std::string> m_entryUrls;
  std::chrono::milliseconds m_period{ 2000 };
};

/** Finds the agent of a worker by asking the entries, and announces the worker
 * there each period. Used from the loop's thread. */
class Announcer
{
public:
  /**
   * @param aAnnouncement gives what to announce.
   * @param aOnLeavingKnown called when an agent has taken an announcement that
   * says leaving.
   */
  Announcer(EventLoop& aLoop,
            network::IHttpClient& aClient,
            AnnouncerOptions aOptions,
            std::function<nlohmann::json()> aAnnouncement,
            std::function<void()> aOnLeavingKnown);

  void Start();

  void AnnounceNow();

private:
  using OutcomeHandler = std::function<void(const network::HttpOutcome&)>;

  void EachPeriod();
  /** Asks entry @p aEntry, and those after it if it doesn't answer. */
  void Locate(std::size_t aEntry);
  void Located(std::size_t aEntry, const network::HttpOutcome& aOutcome);
  /** Announces to agent @p aAgent, and those after it if it doesn't answer. */
  void Announce(std::size_t aAgent);
  void Announced(std::size_t aAgent,
                 bool aLeaving,
                 const network::HttpOutcome& aOutcome);
  void Post(const std::string& aUrl,
            const nlohmann::json& aBody,
            OutcomeHandler aHandler);

  EventLoop& m_loop;
  network::IHttpClient& m_client;
  AnnouncerOptions m_options;
  std::function<nlohmann::json()> m_announcement;
  std::function<void()> m_onLeavingKnown;
  std::vector<std::string> m_agentUrls;
  bool m_locating = false;
  Micros m_locateAt{ 0 };
};

} // namespace mulberrysail::standins

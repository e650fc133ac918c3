#pragma once

#include "network/ihttpclient.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace mulberrysail::store::tests {

/** Completes calls immediately with the outcomes and stream parts set by the
 * test. */
class FakeHttpClient : public network::IHttpClient
{
public:
  void Call(network::HttpCall aCall, network::HttpCallback aCallback) override
  {
    m_calls.push_back(std::move(aCall));
    network::HttpOutcome outcome = std::move(m_outcomes.front());
    m_outcomes.pop_front();
    aCallback(std::move(outcome));
  }

  void Stream(network::HttpCall aCall,
              network::HttpChunkHandler aOnChunk,
              network::HttpCallback aCallback) override
  {
    m_calls.push_back(std::move(aCall));
    for (const std::string& chunk : m_chunks) {
      if (!aOnChunk(chunk)) {
        break;
      }
    }
    aCallback({ .m_body = {}, .m_detail = "ended" });
  }

  void Stop() override {}

  std::vector<network::HttpCall> m_calls;
  std::deque<network::HttpOutcome> m_outcomes;
  std::vector<std::string> m_chunks;
};

} // namespace mulberrysail::store::tests

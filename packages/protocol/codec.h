#pragma once

#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/** The bytes of the messages between the system's own processes. */
namespace mulberrysail::protocol {

/** What the transports of two processes say to each other on a new link. */
struct Greeting
{
  /** Set on the listener's reply. */
  bool m_reply = false;

  bool operator==(const Greeting&) const = default;
};

struct DecodedEnvelope
{
  core::ProcessId m_sender;
  /** The life of the process that it is meant for; zero for any. */
  core::Incarnation m_recipient;
  /** Hybrid logical time of sending. */
  std::uint64_t m_stamp = 0;
  /** On the sender's monotonic clock; the epoch if it didn't say. */
  core::Instant m_sentAt;
  std::variant<Greeting, core::Message> m_body;
};

/** What an envelope says besides its message. */
struct EnvelopeHeader
{
  core::ProcessId m_sender;
  /** Hybrid logical time of sending. */
  std::uint64_t m_stamp = 0;
  /** On the sender's monotonic clock; the epoch if it doesn't say. */
  core::Instant m_sentAt = {};
};

/**
 * @param aHead who sends it, and when.
 * @param aMessage what is sent.
 * @param aRecipient the life of the process that it is meant for; zero for any.
 * @return the envelope in bytes.
 */
std::string
Encode(const EnvelopeHeader& aHead,
       const core::Message& aMessage,
       core::Incarnation aRecipient = {});

/** As Encode(), for a greeting, which is meant for whoever is there. */
std::string
EncodeGreeting(const EnvelopeHeader& aHead, const Greeting& aGreeting);

/**
 * @param aBytes one whole envelope.
 * @return what it holds; MalformedRequest if it can't be read, has no sender
 * or no known body, or holds a number outside its enumeration.
 */
core::Result<DecodedEnvelope>
Decode(std::string_view aBytes);

} // namespace mulberrysail::protocol

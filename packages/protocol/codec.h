#pragma once

#include "core/types/ids.h"
#include "core/types/messages.h"
#include "core/types/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

/** The binary encoding of the messages between the system's processes. */
namespace mulberrysail::protocol {

/** The handshake that the transports of two processes exchange on a new link.
 */
struct Greeting
{
  /** True in the listener's reply. */
  bool m_reply = false;

  bool operator==(const Greeting&) const = default;
};

struct DecodedEnvelope
{
  core::ProcessId m_sender;
  /** The incarnation to which the envelope is addressed; zero for any. */
  core::Incarnation m_recipient;
  /** Hybrid logical time of sending. */
  std::uint64_t m_stamp = 0;
  /** The time of sending on the sender's monotonic clock; the epoch if the
   * sender gave none. */
  core::Instant m_sentAt;
  std::variant<Greeting, core::Message> m_body;
};

/** The sender and time of an envelope. */
struct EnvelopeHeader
{
  core::ProcessId m_sender;
  /** Hybrid logical time of sending. */
  std::uint64_t m_stamp = 0;
  /** The time of sending on the sender's monotonic clock; the epoch if the
   * sender gives none. */
  core::Instant m_sentAt = {};
};

/**
 * Encodes a message in an envelope.
 * @param aHeader the sender and the time of sending.
 * @param aMessage the message.
 * @param aRecipient the incarnation to which the envelope is addressed; zero
 * for any.
 * @return the encoded envelope.
 */
std::string
Encode(const EnvelopeHeader& aHeader,
       const core::Message& aMessage,
       core::Incarnation aRecipient = {});

/** Encodes a greeting in an envelope that is addressed to any incarnation. */
std::string
EncodeGreeting(const EnvelopeHeader& aHeader, const Greeting& aGreeting);

/**
 * Decodes an envelope.
 * @param aBytes one complete envelope.
 * @return the contents; MalformedRequest if the bytes cannot be parsed, the
 * sender is missing, the body is missing or of an unknown type, or an
 * enumeration field has an unknown value.
 */
core::Result<DecodedEnvelope>
Decode(std::string_view aBytes);

} // namespace mulberrysail::protocol

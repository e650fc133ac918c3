#include "protocol/codec.h"

#include "protocol/internal/bodyreader.h"

#include <google/protobuf/stubs/logging.h>
#include <mulberrysail.pb.h>

#include <limits>
#include <optional>
#include <utility>

namespace mulberrysail::protocol {

namespace {

/** Stops the library from writing to the standard error output for each text
 * that is not UTF-8; the caller of Decode() logs it. */
bool
SilenceLibrary()
{
  google::protobuf::SetLogHandler(nullptr);
  return true;
}

} // namespace

core::Result<DecodedEnvelope>
Decode(std::string_view aBytes)
{
  static const bool kIsSilent = SilenceLibrary();
  static_cast<void>(kIsSilent);
  wire::Envelope envelope;
  if (aBytes.size() > std::numeric_limits<int>::max() ||
      !envelope.ParseFromArray(aBytes.data(),
                               static_cast<int>(aBytes.size()))) {
    return core::Fail(core::ErrorKind::MalformedRequest,
                      "cannot parse an envelope of " +
                        std::to_string(aBytes.size()) + " bytes");
  }
  if (envelope.sender_name().empty()) {
    return core::Fail(core::ErrorKind::MalformedRequest,
                      "the envelope has no sender name");
  }
  DecodedEnvelope decoded;
  decoded.m_sender = { envelope.sender_name(),
                       { envelope.sender_incarnation() } };
  decoded.m_recipient = { envelope.recipient_incarnation() };
  decoded.m_stamp = envelope.stamp();
  decoded.m_sentAt = core::Instant(
    core::Duration(static_cast<core::Duration::rep>(envelope.sent_us())));
  if (envelope.has_greeting()) {
    decoded.m_body = Greeting{ envelope.greeting().reply() };
    return decoded;
  }
  BodyReader reader;
  std::optional<core::Message> message = reader.Read(envelope);
  if (!message) {
    return core::Fail(core::ErrorKind::MalformedRequest,
                      "the envelope has no body of a known type");
  }
  if (!reader.Fault().empty()) {
    return core::Fail(core::ErrorKind::MalformedRequest,
                      std::string(reader.Fault()));
  }
  decoded.m_body = std::move(*message);
  return decoded;
}

} // namespace mulberrysail::protocol

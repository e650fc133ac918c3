#include "protocol/codec.h"
#include "protocol/tests/samples.h"

#include <mulberrysail.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <random>

namespace mulberrysail::protocol {

namespace {

const core::ProcessId kSender{ "entry-1", { 42 } };
constexpr std::uint64_t kStamp = 0x0123456789ABCDEF;
const EnvelopeHeader kHead{ kSender,
                            kStamp,
                            core::Instant(core::Duration(5000)) };

/** Checks that Decode() either rejects corrupted bytes with MalformedRequest or
 * returns an envelope that has a sender. */
void
CheckRejectedOrValid(std::string_view aBytes)
{
  const core::Result<DecodedEnvelope> decoded = Decode(aBytes);
  if (decoded) {
    CPPUNIT_ASSERT(!decoded.value().m_sender.m_name.empty());
  } else {
    CPPUNIT_ASSERT(decoded.error().m_kind == core::ErrorKind::MalformedRequest);
  }
}

class CodecTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(EveryMessageSurvivesRoundTrip);
  CPPUNIT_TEST(GreetingSurvivesRoundTrip);
  CPPUNIT_TEST(TruncatedBytesDontCrash);
  CPPUNIT_TEST(CorruptedBytesDontCrash);
  CPPUNIT_TEST(MissingSenderOrBodyIsRejected);
  CPPUNIT_TEST(NumbersOutsideTheirEnumerationAreRejected);
  CPPUNIT_TEST(PayloadOfAJobsTasksIsSentOnce);
  CPPUNIT_TEST(RepeatedPayloadWithoutAFirstOneIsRejected);
  CPPUNIT_TEST(RepeatedPayloadsAreLimited);
  CPPUNIT_TEST(ForwardedStepsOutOfRangeAreRejected);
  CPPUNIT_TEST(TimesAndCoresOutOfRangeAreRejected);
  CPPUNIT_TEST(TextThatIsNotUtf8IsRejected);
  CPPUNIT_TEST_SUITE_END();

public:
  static core::OfferBatch BatchOf(std::vector<std::string> aPayloads)
  {
    core::OfferBatch batch;
    for (std::string& payload : aPayloads) {
      core::Offer offer;
      offer.m_payload = std::move(payload);
      batch.m_offers.push_back(std::move(offer));
    }
    return batch;
  }

  void PayloadOfAJobsTasksIsSentOnce()
  {
    const std::string large(2400, 'x');
    const std::vector<std::string> payloads{ large, large, large, "y",
                                             "",    "",    large };
    core::OfferBatch sent = BatchOf(payloads);
    const std::string whole = Encode(kHead, sent);
    CPPUNIT_ASSERT(whole.size() > 4 * large.size());
    sent.m_omitRepeatedPayloads = true;
    const std::string bytes = Encode(kHead, sent);
    CPPUNIT_ASSERT(bytes.size() < 3 * large.size());
    const core::Result<DecodedEnvelope> decoded = Decode(bytes);
    const core::OfferBatch& batch = std::get<core::OfferBatch>(
      std::get<core::Message>(decoded.value().m_body));
    CPPUNIT_ASSERT_EQUAL(payloads.size(), batch.m_offers.size());
    for (std::size_t i = 0; i < payloads.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(payloads[i], batch.m_offers[i].m_payload);
    }
  }

  static wire::Envelope EnvelopeWithBatch()
  {
    wire::Envelope envelope;
    CPPUNIT_ASSERT(
      envelope.ParseFromString(Encode(kHead, BatchOf({ "payload" }))));
    return envelope;
  }

  void RepeatedPayloadWithoutAFirstOneIsRejected()
  {
    wire::Envelope envelope = EnvelopeWithBatch();
    envelope.mutable_offer_batch()->mutable_offers(0)->set_same_payload(true);
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
  }

  void RepeatedPayloadsAreLimited()
  {
    wire::Envelope envelope = EnvelopeWithBatch();
    wire::OfferBatch& batch = *envelope.mutable_offer_batch();
    batch.mutable_offers(0)->set_payload(std::string(1U << 20U, 'x'));
    for (int i = 0; i < 200; ++i) {
      batch.add_offers()->set_same_payload(true);
    }
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
  }

  void ForwardedStepsOutOfRangeAreRejected()
  {
    core::ForwardJob job;
    job.m_tasks.resize(2);
    job.m_steps.resize(2);
    job.m_tasks[1].m_step = 1;
    job.m_steps[1].m_prerequisites = { 0 };
    CPPUNIT_ASSERT(Decode(Encode(kHead, job)));
    job.m_tasks[1].m_step = 2;
    CPPUNIT_ASSERT(!Decode(Encode(kHead, job)));
    job.m_tasks[1].m_step = 1;
    job.m_steps[1].m_prerequisites = { 1 };
    CPPUNIT_ASSERT(!Decode(Encode(kHead, job)));
    job.m_steps[1].m_prerequisites = { 4'000'000'000 };
    CPPUNIT_ASSERT(!Decode(Encode(kHead, job)));
    job.m_steps.clear();
    CPPUNIT_ASSERT(!Decode(Encode(kHead, job)));
  }

  void TimesAndCoresOutOfRangeAreRejected()
  {
    constexpr std::int64_t kMax = std::numeric_limits<std::int64_t>::max();
    wire::Envelope envelope = EnvelopeWithBatch();
    wire::Offer& offer = *envelope.mutable_offer_batch()->mutable_offers(0);
    for (const std::int64_t time : { kMax - 1, -kMax }) {
      offer.set_deadline(time);
      CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
    }
    offer.set_deadline(0);
    offer.mutable_need()->set_milli_cores(200'000'000);
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
  }

  void TextThatIsNotUtf8IsRejected()
  {
    core::OfferBatch batch = BatchOf({ "payload \xff" });
    batch.m_offers[0].m_name = "task";
    CPPUNIT_ASSERT(Decode(Encode(kHead, batch)));
    for (const char* text : { "\xff", "\xc0\x80", "\xe2\x82" }) {
      batch.m_offers[0].m_name = text;
      CPPUNIT_ASSERT(!Decode(Encode(kHead, batch)));
    }
  }

  void EveryMessageSurvivesRoundTrip()
  {
    const std::vector<core::Message> samples = SampleMessages();
    CPPUNIT_ASSERT_EQUAL(std::variant_size_v<core::Message>, samples.size());
    for (std::size_t i = 0; i < samples.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(i, samples[i].index());
      const core::Result<DecodedEnvelope> decoded =
        Decode(Encode(kHead, samples[i], { 43 }));
      CPPUNIT_ASSERT(decoded);
      CPPUNIT_ASSERT(decoded.value().m_sender == kSender);
      CPPUNIT_ASSERT(decoded.value().m_sentAt == kHead.m_sentAt);
      CPPUNIT_ASSERT_EQUAL(kStamp, decoded.value().m_stamp);
      CPPUNIT_ASSERT(decoded.value().m_recipient == core::Incarnation{ 43 });
      const core::Message* message =
        std::get_if<core::Message>(&decoded.value().m_body);
      CPPUNIT_ASSERT(message != nullptr);
      CPPUNIT_ASSERT(SameMessage(samples[i], *message));
    }
  }

  void GreetingSurvivesRoundTrip()
  {
    const core::Result<DecodedEnvelope> decoded =
      Decode(EncodeGreeting(kHead, Greeting{ true }));
    CPPUNIT_ASSERT(decoded);
    const Greeting* greeting = std::get_if<Greeting>(&decoded.value().m_body);
    CPPUNIT_ASSERT(greeting != nullptr && greeting->m_reply);
  }

  void TruncatedBytesDontCrash()
  {
    for (const core::Message& sample : SampleMessages()) {
      const std::string bytes = Encode(kHead, sample);
      for (std::size_t size = 0; size < bytes.size(); ++size) {
        CheckRejectedOrValid(std::string_view(bytes).substr(0, size));
      }
    }
    CPPUNIT_ASSERT(!Decode(""));
  }

  void CorruptedBytesDontCrash()
  {
    std::mt19937 random(1); // NOLINT: a fixed seed for repeatable bytes
    for (const core::Message& sample : SampleMessages()) {
      const std::string bytes = Encode(kHead, sample);
      for (int round = 0; round < 2000; ++round) {
        std::string corrupted = bytes;
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        CheckRejectedOrValid(corrupted);
      }
    }
  }

  void MissingSenderOrBodyIsRejected()
  {
    CPPUNIT_ASSERT(
      !Decode(Encode({ { "", { 1 } }, kStamp }, core::Reconcile{})));
    wire::Envelope envelope;
    envelope.set_sender_name("entry-1");
    const core::Result<DecodedEnvelope> decoded =
      Decode(envelope.SerializeAsString());
    CPPUNIT_ASSERT(!decoded);
    CPPUNIT_ASSERT(decoded.error().m_kind == core::ErrorKind::MalformedRequest);
  }

  void NumbersOutsideTheirEnumerationAreRejected()
  {
    wire::Envelope envelope;
    envelope.set_sender_name("agent-1");
    wire::AttemptReport& report =
      *envelope.mutable_report_batch()->add_reports();
    report.set_fate(static_cast<wire::AttemptFate>(8));
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
    report.set_fate(wire::ATTEMPT_FATE_LOST);
    CPPUNIT_ASSERT(Decode(envelope.SerializeAsString()));
    report.set_error_kind(static_cast<std::uint32_t>(core::kLastErrorKind) + 1);
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
    wire::Offer& offer = *envelope.mutable_offer_batch()->add_offers();
    offer.set_kind(static_cast<wire::WorkKind>(-1));
    CPPUNIT_ASSERT(!Decode(envelope.SerializeAsString()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

} // namespace

} // namespace mulberrysail::protocol

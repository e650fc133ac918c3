#pragma once

#include "standins/proxy/linkfaults.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace mulberrysail::standins {

/** Moves the bytes of one connection in one direction, in order, each part
 * after the delay of the link. */
class Pump : public std::enable_shared_from_this<Pump>
{
public:
  struct Wiring
  {
    Direction m_direction;
    asio::ip::tcp::socket& m_from;
    asio::ip::tcp::socket& m_to;
    const LinkFaults& m_faults;
    std::mt19937_64& m_random;
    /** Ends the whole connection. */
    std::function<void()> m_abort;
    /** The stream has ended and all was written. */
    std::function<void()> m_finished;
  };

  explicit Pump(Wiring aWiring);

  void Start() { Read(); }

  /** Looks again at the mode of the link. */
  void ModeChanged();

  /** Bytes have vanished: the stream can't be used any more when the link is
   * well again. */
  bool Damaged() const { return m_damaged; }

  /** The connection is over; nothing of it is touched any more. */
  void Stop();

  /** Drops the hooks, which keep the connection alive. After Stop() only and
   * not from within a hook. */
  void Release();

  std::uint64_t BytesMoved() const { return m_bytesMoved; }

private:
  /** Bytes to be written at an instant; empty at the end of the stream. */
  struct Part
  {
    Micros m_due;
    std::string m_bytes;
  };

  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aSize);
  void Take(std::string aBytes);
  Micros DueTime();
  void WriteNext();
  void WaitUntil(Micros aDue);
  void Write(const std::shared_ptr<const Part>& aPart);
  void EndStream();
  bool Frozen() const { return m_wiring.m_faults.m_mode == LinkMode::Freeze; }

  static constexpr std::size_t kBufferBytes = 65536;
  static constexpr std::size_t kMaxQueuedParts = 64;

  Wiring m_wiring;
  asio::steady_timer m_timer;
  std::array<char, kBufferBytes> m_buffer{};
  std::deque<Part> m_parts;
  Micros m_lastDue{ 0 };
  std::uint64_t m_bytesMoved = 0;
  bool m_reading = false;
  bool m_writing = false;
  bool m_ended = false;
  bool m_damaged = false;
  bool m_stopped = false;
};

} // namespace mulberrysail::standins

#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace mulberrysail::review3 {

namespace {

constexpr int kBacklog = 64;
constexpr int kStopCheckMs = 50;
constexpr int kHexBase = 16;

sockaddr_in
MakeAddress(const std::string& aAddress, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  if (inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("no address: " + aAddress);
  }
  return address;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

/** Reads from a socket until a time or until the server stops. */
class Reader
{
public:
  Reader(int aSocket, Instant aUntil, const std::atomic<bool>* aStopped)
    : m_socket(aSocket)
    , m_until(aUntil)
    , m_stopped(aStopped)
  {
  }

  /** @return the bytes up to and with @p aEnd; absent if they don't come. */
  std::optional<std::string> ReadThrough(const std::string& aEnd)
  {
    std::size_t place = m_buffer.find(aEnd);
    while (place == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
      place = m_buffer.find(aEnd);
    }
    return Take(place + aEnd.size());
  }

  std::optional<std::string> ReadCount(std::size_t aCount)
  {
    while (m_buffer.size() < aCount) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    return Take(aCount);
  }

private:
  std::string Take(std::size_t aCount)
  {
    std::string part = m_buffer.substr(0, aCount);
    m_buffer.erase(0, aCount);
    return part;
  }

  bool Fill()
  {
    constexpr std::size_t kChunk = 16384;
    while (Now() < m_until && (m_stopped == nullptr || !*m_stopped)) {
      pollfd state{ m_socket, POLLIN, 0 };
      if (poll(&state, 1, kStopCheckMs) <= 0) {
        continue;
      }
      std::string chunk(kChunk, '\0');
      const ssize_t count = recv(m_socket, chunk.data(), chunk.size(), 0);
      if (count <= 0) {
        return false;
      }
      m_buffer.append(chunk, 0, static_cast<std::size_t>(count));
      return true;
    }
    return false;
  }

  const int m_socket;
  const Instant m_until;
  const std::atomic<bool>* const m_stopped;
  std::string m_buffer;
};

std::string
ToLower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

HttpFields
ParseFields(const std::string& aHead)
{
  HttpFields fields;
  std::size_t begin = aHead.find("\r\n");
  while (begin != std::string::npos && begin + 2 < aHead.size()) {
    begin += 2;
    const std::size_t end = aHead.find("\r\n", begin);
    const std::string line = aHead.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      fields[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
    }
    begin = end;
  }
  return fields;
}

std::string
Unescape(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text.push_back(static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, kHexBase)));
      i += 2;
    } else {
      text.push_back(aText[i]);
    }
  }
  return text;
}

HttpFields
ParseQuery(const std::string& aQuery)
{
  HttpFields fields;
  std::size_t begin = 0;
  while (begin < aQuery.size()) {
    const std::size_t end = std::min(aQuery.find('&', begin), aQuery.size());
    const std::string part = aQuery.substr(begin, end - begin);
    const std::size_t equals = std::min(part.find('='), part.size());
    fields[part.substr(0, equals)] =
      equals == part.size() ? "" : Unescape(part.substr(equals + 1));
    begin = end + 1;
  }
  return fields;
}

std::optional<std::string>
ReadBody(Reader& aReader, const HttpFields& aFields)
{
  const auto length = aFields.find("content-length");
  return aReader.ReadCount(
    length == aFields.end()
      ? 0
      : std::strtoul(length->second.c_str(), nullptr, 10));
}

std::optional<HttpRequest>
ReadRequest(Reader& aReader)
{
  const std::optional<std::string> head = aReader.ReadThrough("\r\n\r\n");
  if (!head) {
    return std::nullopt;
  }
  HttpRequest request;
  const std::size_t space = head->find(' ');
  const std::size_t second = head->find(' ', space + 1);
  if (space == std::string::npos || second == std::string::npos) {
    return std::nullopt;
  }
  request.m_method = head->substr(0, space);
  const std::string target = head->substr(space + 1, second - space - 1);
  const std::size_t mark = std::min(target.find('?'), target.size());
  request.m_path = target.substr(0, mark);
  request.m_query =
    ParseQuery(mark == target.size() ? std::string() : target.substr(mark + 1));
  request.m_fields = ParseFields(*head);
  std::optional<std::string> body = ReadBody(aReader, request.m_fields);
  if (!body) {
    return std::nullopt;
  }
  request.m_body = std::move(*body);
  return request;
}

} // namespace

HttpServer::HttpServer(const std::string& aAddress,
                       std::uint16_t aPort,
                       HttpHandler aHandler)
  : m_handler(std::move(aHandler))
{
  const sockaddr_in address = MakeAddress(aAddress, aPort);
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(m_listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, kBacklog) != 0) {
    close(m_listener);
    throw std::runtime_error("cannot listen on " + aAddress + ":" +
                             std::to_string(aPort));
  }
  m_thread = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  m_stopped = true;
  m_thread.join();
  close(m_listener);
  DropConnections();
  while (m_serving > 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

void
HttpServer::DropConnections()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const int open : m_open) {
    shutdown(open, SHUT_RDWR);
  }
}

void
HttpServer::Accept()
{
  while (!m_stopped) {
    pollfd state{ m_listener, POLLIN, 0 };
    if (poll(&state, 1, kStopCheckMs) <= 0) {
      continue;
    }
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    SetNoDelay(accepted);
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_open.insert(accepted);
    }
    ++m_serving;
    std::thread([this, accepted] {
      Serve(accepted);
      {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_open.erase(accepted);
      }
      close(accepted);
      --m_serving;
    }).detach();
  }
}

void
HttpServer::Serve(int aSocket)
{
  Reader reader(aSocket, Instant::max(), &m_stopped);
  while (const std::optional<HttpRequest> request = ReadRequest(reader)) {
    const std::optional<HttpResponse> response = m_handler(*request);
    if (!response) {
      return;
    }
    const bool sent = SendAll(
      aSocket,
      "HTTP/1.1 " + std::to_string(response->m_status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response->m_body.size()) + "\r\n\r\n" +
        response->m_body);
    if (!sent) {
      return;
    }
  }
}

HttpConnection::HttpConnection(const std::string& aAddress, std::uint16_t aPort)
{
  const sockaddr_in address = MakeAddress(aAddress, aPort);
  m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(m_socket,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(m_socket);
    throw std::runtime_error("connection refused by " + aAddress + ":" +
                             std::to_string(aPort));
  }
  SetNoDelay(m_socket);
}

HttpConnection::~HttpConnection()
{
  if (m_socket >= 0) {
    close(m_socket);
  }
}

void
HttpConnection::Send(const std::string& aMethod,
                     const std::string& aPath,
                     const HttpFields& aFields,
                     const std::string& aBody) const
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Type: application/json\r\nContent-Length: " +
          std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  SendAll(m_socket, text);
}

std::optional<HttpResponse>
HttpConnection::Receive(milliseconds aTimeout)
{
  Reader reader(m_socket, Now() + aTimeout, nullptr);
  const std::optional<std::string> head = reader.ReadThrough("\r\n\r\n");
  const std::size_t space = head ? head->find(' ') : std::string::npos;
  if (space == std::string::npos) {
    return std::nullopt;
  }
  std::optional<std::string> body = ReadBody(reader, ParseFields(*head));
  if (!body) {
    return std::nullopt;
  }
  return HttpResponse{ static_cast<int>(
                         std::strtol(head->c_str() + space, nullptr, 10)),
                       std::move(*body) };
}

void
HttpConnection::Reset()
{
  const linger now{ 1, 0 };
  setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(std::exchange(m_socket, -1));
}

std::optional<HttpResponse>
Call(const std::string& aAddress,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const HttpFields& aFields,
     const std::string& aBody,
     milliseconds aTimeout)
{
  try {
    HttpConnection connection(aAddress, aPort);
    HttpFields fields = aFields;
    fields.emplace("Host", aAddress);
    connection.Send(aMethod, aPath, fields, aBody);
    return connection.Receive(aTimeout);
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

} // namespace mulberrysail::review3

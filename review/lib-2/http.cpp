#include "http.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mulberrysail::review {

namespace {

constexpr int kBacklog = 128;
constexpr Milliseconds kPoll{ 20 };

sockaddr_in
AddressOf(const std::string& aIp, std::uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

bool
WriteAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t part =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (part <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(part);
  }
  return true;
}

/** @return whether the socket can be read within @p aTime. */
bool
WaitReadable(int aSocket, Milliseconds aTime)
{
  pollfd descriptor{ aSocket, POLLIN, 0 };
  return poll(&descriptor, 1, static_cast<int>(aTime.count())) > 0;
}

std::string
Decode(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded +=
        static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
      return static_cast<char>(std::tolower(aChar));
    });
  return aText;
}

/** A message of HTTP/1.1 that may be incomplete. */
struct Message
{
  std::string m_firstLine;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

/** @return the message at the start of @p aBuffer, which is removed there;
 * absent if it is not complete. */
std::optional<Message>
TakeMessage(std::string& aBuffer)
{
  const std::size_t headEnd = aBuffer.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return std::nullopt;
  }
  Message message;
  std::size_t at = aBuffer.find("\r\n");
  message.m_firstLine = aBuffer.substr(0, at);
  while (at < headEnd) {
    at += 2;
    const std::size_t end = aBuffer.find("\r\n", at);
    const std::string line = aBuffer.substr(at, end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.m_headers[Lower(line.substr(0, colon))] = value;
    }
    at = end;
  }
  std::size_t length = 0;
  const auto field = message.m_headers.find("content-length");
  if (field != message.m_headers.end()) {
    length = std::stoul(field->second);
  }
  const std::size_t bodyAt = headEnd + 4;
  if (aBuffer.size() < bodyAt + length) {
    return std::nullopt;
  }
  message.m_body = aBuffer.substr(bodyAt, length);
  aBuffer.erase(0, bodyAt + length);
  return message;
}

Request
ReadRequest(const Message& aMessage)
{
  Request request;
  const std::size_t first = aMessage.m_firstLine.find(' ');
  const std::size_t second = aMessage.m_firstLine.find(' ', first + 1);
  request.m_method = aMessage.m_firstLine.substr(0, first);
  std::string target =
    aMessage.m_firstLine.substr(first + 1, second - first - 1);
  const std::size_t mark = target.find('?');
  request.m_path = target.substr(0, mark);
  while (mark != std::string::npos && target.size() > mark + 1) {
    const std::size_t end = std::min(target.find('&', mark + 1), target.size());
    const std::string pair = target.substr(mark + 1, end - mark - 1);
    const std::size_t equals = pair.find('=');
    request.m_query[Decode(pair.substr(0, equals))] =
      equals == std::string::npos ? "" : Decode(pair.substr(equals + 1));
    target.erase(mark + 1, end - mark);
  }
  request.m_headers = aMessage.m_headers;
  request.m_body = aMessage.m_body;
  return request;
}

} // namespace

HttpServer::HttpServer(const std::string& aIp,
                       std::uint16_t aPort,
                       Handler aHandler)
  : m_handler(std::move(aHandler))
{
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(aIp, aPort);
  if (bind(m_listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, kBacklog) != 0) {
    close(m_listener);
    throw std::runtime_error("cannot listen at " + aIp + ":" +
                             std::to_string(aPort));
  }
  m_acceptor = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  m_stopped = true;
  m_acceptor.join();
  close(m_listener);
  CloseConnections();
  for (Connection& connection : m_connections) {
    connection.m_thread.join();
    close(connection.m_socket);
  }
}

void
HttpServer::CloseConnections()
{
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const Connection& connection : m_connections) {
    shutdown(connection.m_socket, SHUT_RDWR);
  }
}

void
HttpServer::Accept()
{
  while (!m_stopped) {
    if (!WaitReadable(m_listener, kPoll)) {
      continue;
    }
    const int accepted = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_connections.push_back({ accepted, {} });
    m_connections.back().m_thread =
      std::thread([this, accepted] { Serve(accepted); });
  }
}

void
HttpServer::Serve(int aSocket)
{
  constexpr std::size_t kPart = 65536;
  std::string buffer;
  std::string part(kPart, '\0');
  bool isLost = false;
  while (!m_stopped) {
    if (!WaitReadable(aSocket, kPoll)) {
      continue;
    }
    const ssize_t size = recv(aSocket, part.data(), part.size(), 0);
    if (size <= 0) {
      break;
    }
    // A connection that has lost bytes stays silent.
    isLost = isLost || m_cut;
    if (isLost) {
      continue;
    }
    buffer.append(part, 0, static_cast<std::size_t>(size));
    while (const std::optional<Message> message = TakeMessage(buffer)) {
      const std::optional<Response> response = m_handler(ReadRequest(*message));
      isLost = isLost || m_cut || !response;
      if (isLost) {
        break;
      }
      WriteAll(aSocket,
               "HTTP/1.1 " + std::to_string(response->m_status) +
                 " Status\r\nContent-Type: application/json\r\n"
                 "Content-Length: " +
                 std::to_string(response->m_body.size()) + "\r\n\r\n" +
                 response->m_body);
    }
  }
  shutdown(aSocket, SHUT_RDWR);
}

HttpConnection::HttpConnection(std::string aIp, std::uint16_t aPort)
  : m_ip(std::move(aIp))
  , m_port(aPort)
{
}

HttpConnection::~HttpConnection()
{
  Close();
}

void
HttpConnection::Close()
{
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

bool
HttpConnection::Send(const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aBody,
                     const std::map<std::string, std::string>& aHeaders)
{
  if (m_socket < 0) {
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const sockaddr_in address = AddressOf(m_ip, m_port);
    if (connect(m_socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      Close();
      return false;
    }
  }
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\n";
  if (!aHeaders.contains("Host")) {
    text += "Host: " + m_ip + "\r\n";
  }
  for (const auto& [name, value] : aHeaders) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (!aBody.empty()) {
    text += "Content-Type: application/json\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return WriteAll(m_socket, text + aBody);
}

std::optional<Response>
HttpConnection::Receive(Milliseconds aTimeout)
{
  constexpr std::size_t kPart = 65536;
  const Clock::time_point until = Clock::now() + aTimeout;
  std::string buffer;
  std::string part(kPart, '\0');
  while (m_socket >= 0 && Clock::now() < until) {
    if (!WaitReadable(m_socket, kPoll)) {
      continue;
    }
    const ssize_t size = recv(m_socket, part.data(), part.size(), 0);
    if (size <= 0) {
      Close();
      return std::nullopt;
    }
    buffer.append(part, 0, static_cast<std::size_t>(size));
    if (const std::optional<Message> message = TakeMessage(buffer)) {
      const std::size_t space = message->m_firstLine.find(' ');
      return Response{ std::stoi(message->m_firstLine.substr(space + 1)),
                       message->m_body };
    }
  }
  return std::nullopt;
}

std::optional<Response>
Call(const std::string& aIp,
     std::uint16_t aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     Milliseconds aTimeout,
     const std::map<std::string, std::string>& aHeaders)
{
  HttpConnection connection(aIp, aPort);
  if (!connection.Send(aMethod, aPath, aBody, aHeaders)) {
    return std::nullopt;
  }
  return connection.Receive(aTimeout);
}

} // namespace mulberrysail::review
